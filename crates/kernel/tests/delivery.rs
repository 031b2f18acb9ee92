//! Services find each other by name, in order, and a missing one is reported.

use base::Time;
use googletest::prelude::*;
use kernel::{Kernel, Name};

const PING: Name = Name("ping");
const PONG: Name = Name("pong");
const NOBODY: Name = Name("nobody");

#[test]
fn messages_follow_each_other_in_order() {
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
fn a_message_to_nobody_is_reported() {
    let mut kernel: Kernel<(), u32, ()> = Kernel::default();
    kernel.run(&mut (), Time::ZERO, NOBODY, 1, &mut Vec::new());
    assert_that!(kernel.take_undelivered(), elements_are![eq(&NOBODY)]);
    assert_that!(kernel.take_undelivered(), is_empty());
}
