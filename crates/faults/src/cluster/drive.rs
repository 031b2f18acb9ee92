//! Passes inputs to the replicas and carries out their outputs.

use base::{InstanceName, Time};
use rand::RngExt;
use replog::{Blob, Index, Input, Message, Output, Rejected, WriteNo};

use super::{Cluster, host::replica_id};
use crate::history::Digest;

/// Interval at which a stalled sync is retried, in microseconds.
const STALL_RETRY_US: u64 = 50_000;

#[derive(Clone, Debug)]
pub(super) struct Event {
    pub(super) to: InstanceName,
    /// The process start that the event is for; messages are for any.
    pub(super) boot: Option<u64>,
    pub(super) input: Input,
}

impl Cluster {
    pub(super) fn deliver(&mut self, event: Event) {
        let now = self.now;
        let host = self.host(&event.to);
        if let Some(paused) = &mut host.paused {
            paused.push(event);
            return;
        }
        let Some(running) = &mut host.running else {
            return;
        };
        if event.boot.is_some_and(|boot| boot != running.boot) {
            return;
        }
        if host.stalled && matches!(event.input, Input::Synced { .. }) {
            self.enqueue(STALL_RETRY_US, event);
            return;
        }
        if let Input::Synced { upto } = event.input {
            if host.disk.fail_next_sync {
                host.disk.fail_next_sync = false;
                let input = Input::WriteFailed { no: upto };
                self.handle_input(&event.to, input);
                return;
            }
            host.disk.sync(upto);
        }
        if event.input == Input::Wake && running.wake > now {
            return;
        }
        self.handle_input(&event.to, event.input);
    }

    fn handle_input(&mut self, name: &InstanceName, input: Input) {
        if input != Input::Wake {
            self.note(name, &format!("<- {input:?}"));
        }
        let now = self.now;
        let host = self.host(name);
        let local = host.local_time(now);
        let mut out = Vec::new();
        if let Some(running) = &mut host.running {
            running.replica.handle(local, input, &mut out);
        }
        for output in out {
            self.handle_output(name, output);
        }
        self.check_commit(name);
    }

    fn handle_output(&mut self, name: &InstanceName, output: Output) {
        if !matches!(output, Output::Wake { .. }) {
            self.note(name, &format!("-> {output:?}"));
        }
        match output {
            Output::Send { to, message } => self.send(name, &to, message),
            Output::Write { no, records } => {
                self.host(name).disk.write(no, &records);
                self.sync_later(name, no);
            }
            Output::Rewrite {
                no,
                snapshot,
                records,
            } => {
                self.host(name).disk.rewrite(no, &snapshot, &records);
                self.sync_later(name, no);
            }
            Output::Apply {
                index,
                term,
                command,
            } => {
                let last = self.running(name).last;
                self.history.record_applied(last, index, term, &command);
                let running = self.running(name);
                running.last = index;
                running.state = running.state.after(&command);
            }
            Output::Restore { index, data } => self.restore(name, index, &data),
            Output::Proposed { ticket, result } => self.proposed(ticket, result),
            Output::TakeSnapshot { upto } => {
                let data = self.running(name).state.0.to_le_bytes().repeat(20);
                let input = Input::Snapshot {
                    index: upto,
                    data: Blob::from(data),
                };
                self.schedule(name, 1_000, input);
            }
            Output::Wake { at } => self.wake_later(name, at),
            Output::Role { leading, .. } => {
                if leading && let Some(replica) = self.replica(name) {
                    let (term, id) = (replica.term(), replica.id().clone());
                    self.history.record_leader(term, &id);
                }
            }
            Output::Halted { .. } => {}
        }
    }

    fn restore(&mut self, name: &InstanceName, index: Index, data: &Blob) {
        let raw = data[..8].try_into().expect("a snapshot holds a digest");
        let digest = Digest(u64::from_le_bytes(raw));
        let last = self.running(name).last;
        self.history.check_snapshot(last, index, digest);
        let running = self.running(name);
        running.last = index;
        running.state = digest;
    }

    fn proposed(&mut self, ticket: u64, result: Result<Index, Rejected>) {
        match result {
            _ if ticket == 0 => {}
            Ok(index) => self.history.record_accepted(ticket, index),
            Err(Rejected::NotAccepted { .. }) => self.history.record_refused(ticket),
            Err(Rejected::Unknown { .. }) => self.history.record_unknown(ticket),
        }
    }

    fn send(&mut self, from: &InstanceName, to: &InstanceName, message: Message) {
        let id = replica_id(from, self.hosts[from].incarnation);
        let raw = message.encode();
        for delay in self.net.delays(from, to, &mut self.rng) {
            let message = Message::decode(&raw).expect("messages survive the wire");
            let input = Input::Received {
                from: id.clone(),
                message,
            };
            let event = Event {
                to: to.clone(),
                boot: None,
                input,
            };
            self.enqueue(delay, event);
        }
    }

    fn sync_later(&mut self, name: &InstanceName, upto: WriteNo) {
        let delay = self.rng.random_range(200..=self.config.sync);
        self.schedule(name, delay, Input::Synced { upto });
    }

    fn wake_later(&mut self, name: &InstanceName, at: Time) {
        let now = self.now;
        let at = self.hosts[name].real_time(at).max(now + 1);
        self.running(name).wake = at;
        self.schedule(name, at - now, Input::Wake);
    }

    fn schedule(&mut self, name: &InstanceName, delay: u64, input: Input) {
        let boot = Some(self.running(name).boot);
        let event = Event {
            to: name.clone(),
            boot,
            input,
        };
        self.enqueue(delay, event);
    }

    fn enqueue(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }
}
