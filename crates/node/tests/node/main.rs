//! Tests of one node. The test receives each of its calls, polls, orders and
//! attempts, and may answer, delay or drop it.

mod crashes;
mod guards;
mod requests;
mod rests;
mod silent;
mod software;
mod starts;
mod world;
