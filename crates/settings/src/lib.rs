//! Settings of the daemons: every flag is also an environment variable of the
//! same name, and all errors are reported at once.
//!
//! A daemon that stops at the first wrong setting is started again once for
//! every mistake; on an instance that somebody is repairing, that costs time.
//! `--peer-listen` is `QUETZAL_PEER_LISTEN`; a flag goes before its variable.

mod control;
mod entry;
mod errors;
mod options;
mod parse;
mod shared;

pub use crate::{
    control::{Begin, ControlSettings, control},
    entry::{EntrySettings, entry},
    errors::{BadSetting, Errors},
    options::{ENV_PREFIX, env_name},
    shared::{Identity, LogLevel, Telemetry},
};
