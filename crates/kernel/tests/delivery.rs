//! Tests that messages are delivered by name and in order, and that messages to
//! missing services are reported.

use base::Time;
use googletest::prelude::*;
use kernel::{Kernel, Name};

const PING: Name = Name("ping");
const PONG: Name = Name("pong");
const MISSING: Name = Name("missing");

#[test]
fn messages_are_delivered_in_order() {
    let mut kernel: Kernel<u32, u32, String> = Kernel::default();
    kernel.register(PING, |seen, _, n, out| {
        *seen += 1;
        out.emit(format!("ping {n}"));
        if n > 0 {
            out.send(PONG, n - 1);
        }
    });
    kernel.register(PONG, |_, _, n, out| {
        out.emit(format!("pong {n}"));
        out.send(PING, n);
    });
    let (mut seen, mut out) = (0, Vec::new());
    kernel.run(&mut seen, Time::ZERO, PING, 1, &mut out);
    assert_that!(out, elements_are![eq("ping 1"), eq("pong 0"), eq("ping 0")]);
    assert_that!(seen, eq(2));
}

#[test]
fn a_message_to_a_missing_service_is_reported() {
    let mut kernel: Kernel<(), u32, ()> = Kernel::default();
    kernel.run(&mut (), Time::ZERO, MISSING, 1, &mut Vec::new());
    assert_that!(kernel.take_undelivered(), elements_are![eq(&MISSING)]);
    assert_that!(kernel.take_undelivered(), is_empty());
}
