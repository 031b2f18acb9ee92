//! One table of the text, read key by key, with its errors noted.

use std::{fmt::Display, str::FromStr};

use base::BadName;
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::{errors::Problem, fault::Fault, raw::At};

/// A table under reading.
///
/// Each reader returns `None` for a key that isn't there or whose value is
/// wrong; only the latter is noted. `'i` is the text, `'t` the parsed tables
/// and `'p` the list of problems.
pub(crate) struct Table<'i, 't, 'p> {
    entries: &'t DeTable<'i>,
    at: usize,
    place: String,
    problems: &'p mut Vec<Problem>,
}

impl<'i, 't, 'p> Table<'i, 't, 'p> {
    /// Begins to read a table, and notes keys that aren't `known`; an empty
    /// list leaves that to [`Table::only`].
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
            table.only(known);
        }
        table
    }

    /// Notes every key that isn't `known`.
    pub(crate) fn only(&mut self, known: &[&str]) {
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
            self.note(key.span().start, fault);
        }
    }

    /// Notes a fault at a byte of the text.
    pub(crate) fn note(&mut self, at: usize, fault: Fault) {
        self.problems.push(Problem { at, fault });
    }

    /// Notes a word that isn't one of those `wanted`.
    pub(crate) fn wrong_word(&mut self, key: &str, at: usize, wanted: &'static str, found: &str) {
        let fault = Fault::WrongWord {
            key: key.to_owned(),
            wanted,
            found: found.to_owned(),
        };
        self.note(at, fault);
    }

    /// Reads a key that must be there.
    pub(crate) fn must<T>(
        &mut self,
        key: &'static str,
        read: impl FnOnce(&mut Self, &'static str) -> Option<T>,
    ) -> Option<T> {
        if self.value(key).is_none() {
            let place = self.place.clone();
            self.note(self.at, Fault::Missing { key, place });
            return None;
        }
        read(self, key)
    }

    /// Reads a text.
    pub(crate) fn text(&mut self, key: &str) -> Option<At<&'t str>> {
        let value = self.value(key)?;
        match value.get_ref() {
            DeValue::String(text) => Some(At {
                value: text.as_ref(),
                at: value.span().start,
            }),
            _ => self.wrong_type(key, "a text", value),
        }
    }

    /// Reads a name.
    pub(crate) fn name<N: FromStr<Err = BadName>>(&mut self, key: &str) -> Option<At<N>> {
        let text = self.text(key)?;
        let value = self.name_of(text.value, text.at)?;
        Some(At { value, at: text.at })
    }

    /// Checks that `raw`, which stands at `at`, is a name.
    pub(crate) fn name_of<N: FromStr<Err = BadName>>(&mut self, raw: &str, at: usize) -> Option<N> {
        match raw.parse() {
            Ok(name) => Some(name),
            Err(source) => {
                self.note(
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

    /// Reads yes or no.
    pub(crate) fn boolean(&mut self, key: &str) -> Option<bool> {
        let value = self.value(key)?;
        match value.get_ref() {
            DeValue::Boolean(value) => Some(*value),
            _ => self.wrong_type(key, "true or false", value),
        }
    }

    /// Reads a whole number from `least` to `most`.
    pub(crate) fn number(&mut self, key: &str, least: u64, most: u64) -> Option<At<u64>> {
        let value = self.value(key)?;
        self.number_of(key, value, least, most)
    }

    /// Reads a whole number from 1 to `most`, which must fit in 32 bits.
    pub(crate) fn small(&mut self, key: &str, most: u64) -> Option<u32> {
        let number = self.number(key, 1, most)?;
        u32::try_from(number.value).ok()
    }

    /// Reads one of a few words.
    pub(crate) fn word<T: FromStr>(&mut self, key: &str, wanted: &'static str) -> Option<T> {
        let text = self.text(key)?;
        let word = text.value.parse().ok();
        if word.is_none() {
            self.wrong_word(key, text.at, wanted, text.value);
        }
        word
    }

    /// Reads a list of texts, each turned into a value by `read`.
    pub(crate) fn texts<T, E: Into<Fault>>(
        &mut self,
        key: &str,
        read: impl Fn(&str) -> Result<T, E>,
    ) -> Option<Vec<At<T>>> {
        let items = self.items(key)?;
        let mut values = Vec::new();
        for item in items {
            let at = item.span().start;
            let DeValue::String(text) = item.get_ref() else {
                self.wrong_type::<()>(key, "a list of texts", item);
                continue;
            };
            match read(text) {
                Ok(value) => values.push(At { value, at }),
                Err(err) => self.note(at, err.into()),
            }
        }
        whole(items, values)
    }

    /// Reads a list of names.
    pub(crate) fn names<N: FromStr<Err = BadName>>(&mut self, key: &str) -> Option<Vec<At<N>>> {
        self.texts(key, |raw| {
            raw.parse().map_err(|source| Fault::BadName {
                raw: raw.to_owned(),
                source,
            })
        })
    }

    /// Reads a list of whole numbers from 1 to `most`.
    pub(crate) fn numbers(&mut self, key: &str, most: u64) -> Option<Vec<At<u64>>> {
        let value = self.value(key)?;
        self.numbers_of(key, value, "a list", most)
    }

    /// Reads `value` as a list of whole numbers from 1 to `most`.
    pub(crate) fn numbers_of(
        &mut self,
        key: &str,
        value: &Spanned<DeValue<'i>>,
        wanted: &'static str,
        most: u64,
    ) -> Option<Vec<At<u64>>> {
        let DeValue::Array(items) = value.get_ref() else {
            return self.wrong_type(key, wanted, value);
        };
        let numbers = items
            .iter()
            .filter_map(|item| self.number_of(key, item, 1, most));
        let numbers = numbers.collect();
        whole(items, numbers)
    }

    /// Opens a table inside this one.
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
    pub(crate) fn named<T>(
        &mut self,
        key: &str,
        what: &str,
        read: impl Fn(&str, usize, &mut Table<'i, 't, '_>) -> Option<T>,
    ) -> Vec<T> {
        self.named_or(key, what, read, |raw, _, value, table| {
            table.wrong_type(raw, "a table", value)
        })
    }

    /// Reads a table whose keys are names and whose values are tables, or
    /// something else that `other` reads.
    pub(crate) fn named_or<T>(
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
    ) -> Option<At<u64>> {
        let DeValue::Integer(raw) = value.get_ref() else {
            return self.wrong_type(key, "a whole number", value);
        };
        let at = value.span().start;
        match u64::from_str_radix(raw.as_str(), raw.radix()) {
            Ok(n) if (least..=most).contains(&n) => Some(At { value: n, at }),
            _ => {
                self.note(
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
        self.note(value.span().start, fault);
        None
    }
}

/// Returns `values`, unless every one of the list's items was wrong: an empty
/// list would draw a second message.
fn whole<I, T>(items: &[I], values: Vec<T>) -> Option<Vec<T>> {
    (items.is_empty() || !values.is_empty()).then_some(values)
}
