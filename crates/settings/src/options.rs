//! Reads raw settings from flags and environment variables, and collects their errors.

use std::{collections::BTreeMap, ffi::OsString, fmt::Display};

use clap::{Arg, ArgMatches, Command, error::ErrorKind};

use crate::errors::{BadSetting, Errors};

/// Prefix of all environment variables of the settings.
pub const ENV_PREFIX: &str = "QUETZAL_";

/// Declaration of a setting.
pub(crate) struct Spec {
    /// The flag without its dashes.
    pub(crate) name: &'static str,
    /// Placeholder of the value in the help.
    pub(crate) value: &'static str,
    /// Help text.
    pub(crate) help: &'static str,
}

/// Returns the environment variable that goes with a flag.
#[must_use]
pub fn env_name(flag: &str) -> String {
    format!("{ENV_PREFIX}{}", flag.replace('-', "_").to_uppercase())
}

/// Raw settings, and the errors found in them so far.
pub(crate) struct Options {
    raw: BTreeMap<&'static str, String>,
    errors: Vec<BadSetting>,
}

impl Options {
    /// Reads `args` (the program's name first) and `env` by `specs`.
    ///
    /// # Errors
    ///
    /// Fails when help is requested, or on an unknown flag.
    pub(crate) fn read(
        program: &'static str,
        about: &'static str,
        specs: &[&[Spec]],
        args: impl IntoIterator<Item = OsString>,
        env: impl IntoIterator<Item = (OsString, OsString)>,
    ) -> Result<Self, Errors> {
        let specs: Vec<&Spec> = specs.iter().copied().flatten().collect();
        let command = command(program, about, &specs);
        let matches = command.try_get_matches_from(args).map_err(usage)?;
        let env: BTreeMap<OsString, OsString> = env.into_iter().collect();
        let mut options = Options {
            raw: BTreeMap::new(),
            errors: Vec::new(),
        };
        for spec in specs {
            options.read_one(spec.name, &matches, &env);
        }
        Ok(options)
    }

    /// Reads the raw value of one setting; the flag takes precedence over the variable,
    /// and an empty value counts as not set.
    fn read_one(
        &mut self,
        name: &'static str,
        matches: &ArgMatches,
        env: &BTreeMap<OsString, OsString>,
    ) {
        let flag = matches.get_one::<OsString>(name);
        let var = env.get(&OsString::from(env_name(name)));
        let Some(value) = flag.or(var) else { return };
        match value.to_str() {
            Some("") => {}
            Some(value) => {
                self.raw.insert(name, value.to_owned());
            }
            None => self.wrong(name, "is not UTF-8"),
        }
    }

    /// Returns the parsed value of an optional setting.
    pub(crate) fn optional<T, E: Display>(
        &mut self,
        name: &'static str,
        parse: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        let raw = self.raw.get(name)?;
        match parse(raw) {
            Ok(value) => Some(value),
            Err(err) => {
                self.wrong(name, err);
                None
            }
        }
    }

    /// Returns the parsed value of a required setting.
    pub(crate) fn required<T, E: Display>(
        &mut self,
        name: &'static str,
        parse: impl FnOnce(&str) -> Result<T, E>,
    ) -> Option<T> {
        if !self.raw.contains_key(name) {
            self.wrong(name, "must be set");
        }
        self.optional(name, parse)
    }

    /// Returns whether a setting is set.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.raw.contains_key(name)
    }

    /// Adds an error of the setting `name`.
    pub(crate) fn wrong(&mut self, name: &'static str, what: impl Display) {
        self.errors.push(BadSetting {
            name: name.to_owned(),
            env: env_name(name),
            what: what.to_string(),
        });
    }

    /// Returns `settings` if there were no errors.
    ///
    /// # Errors
    ///
    /// Fails with all errors if any setting was wrong.
    pub(crate) fn finish<T>(self, settings: Option<T>) -> Result<T, Errors> {
        match settings {
            Some(settings) if self.errors.is_empty() => Ok(settings),
            _ => Err(Errors::Bad(self.errors)),
        }
    }
}

fn command(program: &'static str, about: &'static str, specs: &[&Spec]) -> Command {
    let args = specs.iter().map(|spec| {
        Arg::new(spec.name)
            .long(spec.name)
            .value_name(spec.value)
            .value_parser(clap::value_parser!(OsString))
            .allow_hyphen_values(true)
            .help(format!("{} [env: {}]", spec.help, env_name(spec.name)))
    });
    Command::new(program)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .args(args)
}

fn usage(err: clap::Error) -> Errors {
    let text = err.render().to_string();
    match err.kind() {
        ErrorKind::DisplayHelp | ErrorKind::DisplayVersion => Errors::Help(text),
        _ => Errors::Usage(text),
    }
}
