//! Process-level tests: real daemons and stand-ins on the loopback interface.

mod broken;
mod common;
mod crashes;
mod cut;
mod faults;
mod frozen;
mod measures;
mod once;
mod path;
mod rolling;
mod silent;
mod targets;
mod timed;
mod trace;
