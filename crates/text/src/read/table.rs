//! Reads one TOML table of the text key by key and reports the errors.

use std::{fmt::Display, str::FromStr};

use base::BadName;
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::{errors::Problem, fault::Fault, raw::Located};

/// A table that is being read.
///
/// The methods that read a value return `None` if the key is missing or its value is
/// wrong, and report a problem only in the latter case. `'i` is the lifetime of the
/// text, `'t` of the parsed tables and `'p` of the list of problems.
pub(crate) struct Table<'i, 't, 'p> {
    entries: &'t DeTable<'i>,
    at: usize,
    place: String,
    problems: &'p mut Vec<Problem>,
}

impl<'i, 't, 'p> Table<'i, 't, 'p> {
    /// Starts to read a table and reports keys that aren't `known`. If `known` is empty,
    /// the caller calls [`Table::check_keys`] instead.
    pub(crate) fn new(
        entries: &'t DeTable<'i>,
        at: usize,
        place: String,
        known: &[&str],
        problems: &'p mut Vec<Problem>,
    ) -> Self {
        let mut table = Table {
            entries,
            at,
            place,
            problems,
        };
        if !known.is_empty() {
            table.check_keys(known);
        }
        table
    }

    /// Reports every key that isn't `known`.
    pub(crate) fn check_keys(&mut self, known: &[&str]) {
        for key in self.entries.keys() {
            let raw = key.get_ref().as_ref();
            if known.contains(&raw) {
                continue;
            }
            let fault = Fault::UnknownKey {
                key: raw.to_owned(),
                place: self.place.clone(),
                known: known.join(", "),
            };
            self.report(key.span().start, fault);
        }
    }

    /// Reports a fault at the byte offset `at` of the text.
    pub(crate) fn report(&mut self, at: usize, fault: Fault) {
        self.problems.push(Problem { at, fault });
    }

    /// Reports a string that isn't one of the `wanted` words.
    pub(crate) fn unknown_word(&mut self, key: &str, at: usize, wanted: &'static str, found: &str) {
        let fault = Fault::UnknownWord {
            key: key.to_owned(),
            wanted,
            found: found.to_owned(),
        };
        self.report(at, fault);
    }

    /// Reads a required key with `read`, or reports that it is missing.
    pub(crate) fn required<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&mut Self, &'static str) -> Option<T>,
    ) -> Option<T> {
        if self.value(key).is_none() {
            let place = self.place.clone();
            self.report(self.at, Fault::Missing { key, place });
            return None;
        }
        read(self, key)
    }

    /// Reads a string.
    pub(crate) fn text(&mut self, key: &str) -> Option<Located<&'t str>> {
        let value = self.value(key)?;
        match value.get_ref() {
            DeValue::String(text) => Some(Located {
                value: text.as_ref(),
                at: value.span().start,
            }),
            _ => self.wrong_type(key, "a string", value),
        }
    }

    /// Reads a name.
    pub(crate) fn name<N: FromStr<Err = BadName>>(&mut self, key: &str) -> Option<Located<N>> {
        let text = self.text(key)?;
        let value = self.name_of(text.value, text.at)?;
        Some(Located { value, at: text.at })
    }

    /// Parses `raw`, which is at the byte offset `at`, as a name.
    pub(crate) fn name_of<N: FromStr<Err = BadName>>(&mut self, raw: &str, at: usize) -> Option<N> {
        match raw.parse() {
            Ok(name) => Some(name),
            Err(source) => {
                self.report(
                    at,
                    Fault::BadName {
                        raw: raw.to_owned(),
                        source,
                    },
                );
                None
            }
        }
    }

    /// Reads a boolean.
    pub(crate) fn boolean(&mut self, key: &str) -> Option<bool> {
        let value = self.value(key)?;
        match value.get_ref() {
            DeValue::Boolean(value) => Some(*value),
            _ => self.wrong_type(key, "true or false", value),
        }
    }

    /// Reads an integer from `least` to `most`.
    pub(crate) fn number(&mut self, key: &str, least: u64, most: u64) -> Option<Located<u64>> {
        let value = self.value(key)?;
        self.number_of(key, value, least, most)
    }

    /// Reads an integer from 1 to `most`, which must fit in 32 bits.
    pub(crate) fn number_u32(&mut self, key: &str, most: u64) -> Option<u32> {
        let number = self.number(key, 1, most)?;
        u32::try_from(number.value).ok()
    }

    /// Reads one of a few words, which `wanted` lists for the message.
    pub(crate) fn word<T: FromStr>(&mut self, key: &str, wanted: &'static str) -> Option<T> {
        let text = self.text(key)?;
        let word = text.value.parse().ok();
        if word.is_none() {
            self.unknown_word(key, text.at, wanted, text.value);
        }
        word
    }

    /// Reads a list of strings and converts each one with `read`.
    pub(crate) fn texts<T, E: Into<Fault>>(
        &mut self,
        key: &str,
        read: impl Fn(&str) -> Result<T, E>,
    ) -> Option<Vec<Located<T>>> {
        let items = self.items(key)?;
        let mut values = Vec::new();
        for item in items {
            let at = item.span().start;
            let DeValue::String(text) = item.get_ref() else {
                self.wrong_type::<()>(key, "a list of strings", item);
                continue;
            };
            match read(text) {
                Ok(value) => values.push(Located { value, at }),
                Err(err) => self.report(at, err.into()),
            }
        }
        unless_all_wrong(items, values)
    }

    /// Reads a list of names.
    pub(crate) fn names<N: FromStr<Err = BadName>>(
        &mut self,
        key: &str,
    ) -> Option<Vec<Located<N>>> {
        self.texts(key, |raw| {
            raw.parse().map_err(|source| Fault::BadName {
                raw: raw.to_owned(),
                source,
            })
        })
    }

    /// Reads a list of integers from 1 to `most`.
    pub(crate) fn numbers(&mut self, key: &str, most: u64) -> Option<Vec<Located<u64>>> {
        let value = self.value(key)?;
        self.numbers_of(key, value, "a list", most)
    }

    /// Reads `value` as a list of integers from 1 to `most`.
    pub(crate) fn numbers_of(
        &mut self,
        key: &str,
        value: &Spanned<DeValue<'i>>,
        wanted: &'static str,
        most: u64,
    ) -> Option<Vec<Located<u64>>> {
        let DeValue::Array(items) = value.get_ref() else {
            return self.wrong_type(key, wanted, value);
        };
        let numbers = items
            .iter()
            .filter_map(|item| self.number_of(key, item, 1, most));
        let numbers = numbers.collect();
        unless_all_wrong(items, numbers)
    }

    /// Opens a table that is nested in this one.
    pub(crate) fn table(&mut self, key: &str, known: &[&str]) -> Option<Table<'i, 't, '_>> {
        let value = self.value(key)?;
        let DeValue::Table(entries) = value.get_ref() else {
            return self.wrong_type(key, "a table", value);
        };
        let place = format!("[{key}]");
        Some(Table::new(
            entries,
            value.span().start,
            place,
            known,
            self.problems,
        ))
    }

    /// Reads a table whose keys are names and whose values are tables.
    pub(crate) fn named_tables<T>(
        &mut self,
        key: &str,
        what: &str,
        read: impl Fn(&str, usize, &mut Table<'i, 't, '_>) -> Option<T>,
    ) -> Vec<T> {
        self.named_tables_or(key, what, read, |raw, _, value, table| {
            table.wrong_type(raw, "a table", value)
        })
    }

    /// Reads a table whose keys are names and whose values are tables, or other values
    /// that `other` reads.
    pub(crate) fn named_tables_or<T>(
        &mut self,
        key: &str,
        what: &str,
        read: impl Fn(&str, usize, &mut Table<'i, 't, '_>) -> Option<T>,
        other: impl Fn(&str, usize, &Spanned<DeValue<'i>>, &mut Self) -> Option<T>,
    ) -> Vec<T> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let DeValue::Table(entries) = value.get_ref() else {
            self.wrong_type::<()>(key, "a table", value);
            return Vec::new();
        };
        let mut found = Vec::new();
        for (name, value) in entries {
            let raw = name.get_ref().as_ref();
            let at = name.span().start;
            let DeValue::Table(inner) = value.get_ref() else {
                found.extend(other(raw, at, value, self));
                continue;
            };
            let place = format!("{what} `{raw}`");
            let mut table = Table::new(inner, at, place, &[], self.problems);
            found.extend(read(raw, at, &mut table));
        }
        found
    }

    fn value(&self, key: &str) -> Option<&'t Spanned<DeValue<'i>>> {
        self.entries.get(key)
    }

    fn items(&mut self, key: &str) -> Option<&'t [Spanned<DeValue<'i>>]> {
        let value = self.value(key)?;
        match value.get_ref() {
            DeValue::Array(items) => Some(items),
            _ => self.wrong_type(key, "a list", value),
        }
    }

    fn number_of(
        &mut self,
        key: &str,
        value: &Spanned<DeValue<'i>>,
        least: u64,
        most: u64,
    ) -> Option<Located<u64>> {
        let DeValue::Integer(raw) = value.get_ref() else {
            return self.wrong_type(key, "an integer", value);
        };
        let at = value.span().start;
        match u64::from_str_radix(raw.as_str(), raw.radix()) {
            Ok(n) if (least..=most).contains(&n) => Some(Located { value: n, at }),
            _ => {
                self.report(
                    at,
                    Fault::OutOfRange {
                        key: key.to_owned(),
                        least,
                        most,
                    },
                );
                None
            }
        }
    }

    fn wrong_type<T>(
        &mut self,
        key: impl Display,
        wanted: &'static str,
        value: &Spanned<DeValue<'i>>,
    ) -> Option<T> {
        let found = value.get_ref().type_str();
        let fault = Fault::WrongType {
            key: key.to_string(),
            wanted,
            found,
        };
        self.report(value.span().start, fault);
        None
    }
}

/// Returns `values`, or `None` if every item of the list was wrong: an empty list would
/// cause a second message for the same mistake.
fn unless_all_wrong<I, T>(items: &[I], values: Vec<T>) -> Option<Vec<T>> {
    (items.is_empty() || !values.is_empty()).then_some(values)
}
