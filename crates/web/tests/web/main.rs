//! Tests of the HTTP server and client over sockets on the loopback interface.

mod busy;
mod client;
mod ends;
mod peer;
mod room;
mod server;
mod sse;
mod timeout;
mod tunnel;
