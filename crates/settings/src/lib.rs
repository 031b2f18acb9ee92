//! Settings of the daemons, from flags and environment variables.
//!
//! Every flag has an environment variable of the same name, such as
//! `QUETZAL_PEER_LISTEN` for `--peer-listen`; the flag takes precedence. All errors are
//! reported at once, so that an operator doesn't have to restart the daemon once for
//! every mistake.

mod control;
mod entry;
mod errors;
mod options;
mod parse;
mod shared;

pub use crate::{
    control::{Bootstrap, ControlSettings, control},
    entry::{EntrySettings, entry},
    errors::{BadSetting, Errors},
    options::{ENV_PREFIX, env_name},
    shared::{Identity, LogLevel, Telemetry},
};
