//! Both sides of HTTP over real sockets on the loopback interface.

mod client;
mod patience;
mod peer;
mod server;
mod sse;
