//! Connects the services of one node and distributes inputs among them.

use base::Time;
use kernel::{Kernel, Name};

use crate::{
    config::Config,
    engines::Engines,
    entry::Entry,
    fleet::Fleet,
    heartbeat::Heartbeat,
    io::{Input, Output},
    msg::{ALL, CONFIG, ENGINES, ENTRY, FLEET, HEARTBEAT, Msg, SERVICES},
    services,
    shared::{Settings, Shared},
};

/// The state machine of one entry instance: takes inputs with the time at which
/// they happen and returns outputs for the driver to carry out.
///
/// It has no clock, socket or thread, and the seed in its [`Settings`] is its
/// only source of randomness: the same inputs at the same times give the same
/// outputs.
#[derive(Debug)]
pub struct Node {
    kernel: Kernel<Shared, Msg, Output>,
    shared: Shared,
    /// Time of the last [`Output::Wake`].
    wake: Option<Time>,
}

impl Node {
    /// Creates a node that starts at `now`. Its first input should be
    /// [`Input::Wake`], or [`Input::Saved`] if a text was saved.
    #[must_use]
    pub fn new(settings: Settings, now: Time) -> Self {
        let mut shared = Shared::new(settings);
        let mut kernel = Kernel::default();
        let mut config = Config::default();
        kernel.register(CONFIG, move |shared, now, msg, out| {
            config.handle(shared, now, msg, out);
        });
        let mut fleet = Fleet::default();
        kernel.register(FLEET, move |shared, now, msg, out| {
            fleet.handle(shared, now, msg, out);
        });
        kernel.register(SERVICES, |shared, _, msg, out| {
            services::handle(shared, &msg, out)
        });
        let mut heartbeat = Heartbeat::default();
        kernel.register(HEARTBEAT, move |shared, now, msg, out| {
            heartbeat.handle(shared, now, msg, out);
        });
        let mut engines = Engines::new(&shared, now);
        kernel.register(ENGINES, move |shared, now, msg, out| {
            engines.handle(shared, now, msg, out);
        });
        let mut entry = Entry::new(&mut shared);
        kernel.register(ENTRY, move |shared, now, msg, out| {
            entry.handle(shared, now, msg, out);
        });
        for name in ALL {
            shared.wake(name, now);
        }
        Node {
            kernel,
            shared,
            wake: None,
        }
    }

    /// Handles one input and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Replied { call, reply } => {
                let Some((name, purpose)) = self.shared.take_call(call) else {
                    return;
                };
                self.run(now, name, Msg::Replied { purpose, reply }, out);
            }
            Input::Called { call, body, .. } => {
                let name = service_for(&body);
                self.run(now, name, Msg::Called { call, body }, out);
            }
            Input::Drain => {
                self.shared.draining = true;
                for name in ALL {
                    self.run(now, name, Msg::Drain, out);
                }
                // Announces the shutdown now, so that the leader assigns this
                // instance's engines to other instances without delay.
                self.run(now, HEARTBEAT, Msg::HeartbeatNow, out);
            }
            Input::Wake => {}
            input @ (Input::Saved { .. } | Input::Checked { .. }) => {
                self.run(now, CONFIG, Msg::Input(input), out)
            }
            input @ Input::List(_) => self.run(now, FLEET, Msg::Input(input), out),
            input @ (Input::Report { .. } | Input::OrderEnded { .. }) => {
                self.run(now, ENGINES, Msg::Input(input), out);
            }
            input => self.run(now, ENTRY, Msg::Input(input), out),
        }
        for name in self.shared.due(now) {
            self.run(now, name, Msg::Wake, out);
        }
        self.request_wake(out);
    }

    /// Returns the version of the text in force on this node.
    #[must_use]
    pub fn version(&self) -> base::TextVersion {
        self.shared.version
    }

    fn run(&mut self, now: Time, to: Name, msg: Msg, out: &mut Vec<Output>) {
        self.kernel.run(&mut self.shared, now, to, msg, out);
    }

    fn request_wake(&mut self, out: &mut Vec<Output>) {
        let next = self.shared.next_wake();
        if next != self.wake
            && let Some(at) = next
        {
            out.push(Output::Wake(at));
        }
        self.wake = next;
    }
}

/// Returns the service that handles a call from another process.
fn service_for(call: &wire::call::Call) -> Name {
    use wire::call::Call;
    match call {
        Call::Version | Call::Text { .. } => CONFIG,
        Call::Explain(_) => ENTRY,
        _ => ENGINES,
    }
}
