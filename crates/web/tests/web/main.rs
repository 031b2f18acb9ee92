//! Both sides of HTTP over real sockets on the loopback interface.

mod client;
mod peer;
mod server;
mod sse;
