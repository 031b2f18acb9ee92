//! Keeps the newest accepted text in force here.
//!
//! The leader names the newest version in every answer to a heartbeat; a node
//! that is behind fetches it. Without a leader it asks the other entry
//! instances, so that a text that reached any instance of a zone before it was
//! cut off is in force in all of it.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use base::{TextVersion, Time, Verdict};
use text::model::Model;
use wire::{
    call::{Call, Reply},
    patch::{self, Patch},
};

use crate::{
    io::{Event, Input, Output},
    msg::{ALL, CONFIG, Msg},
    shared::{CALL_LIMIT, Out, Purpose, Shared},
};

/// How long a text may take to arrive: a few megabytes between zones.
const FETCH_LIMIT: Duration = Duration::from_millis(1_500);

/// How often a node without a leader asks another for its version; two tries
/// fit into the three seconds in which a change has to be in force.
const ASK_EVERY: Duration = Duration::from_millis(1_000);

/// Pause between two fetches of a text.
const FETCH_PAUSE: Duration = Duration::from_millis(200);

/// A node that was not woken for this long was frozen: it may have slept
/// through changes, and asks around before it takes new work.
const FROZEN: Duration = Duration::from_millis(2_500);

/// The text in force and what is known of newer ones.
#[derive(Debug, Default)]
pub(crate) struct Config {
    started: bool,
    ready: bool,
    /// Sources that have not told their version since the start or thaw.
    waiting: BTreeSet<SocketAddr>,
    /// When the asking around ends even if some stay silent.
    until: Time,
    last: Time,
    heard: Time,
    newest: TextVersion,
    holder: Option<SocketAddr>,
    fetching: bool,
    /// Not before this the next fetch, after one that failed.
    again: Time,
    /// A version that can't be read here; only a newer one is fetched.
    unreadable: TextVersion,
    /// The text that is being checked.
    checking: Option<(TextVersion, Arc<str>)>,
    /// Whether the next fetch asks for the whole text.
    whole: bool,
    turn: usize,
}

impl Config {
    pub(crate) fn handle(&mut self, shared: &mut Shared, now: Time, msg: Msg, out: &mut Out) {
        self.notice_thaw(shared, now, out);
        match msg {
            Msg::Wake => self.ask_one(shared, now, out),
            // Guard: an instance that restarts in a zone that is cut off finds
            // nobody to ask, and would serve nothing until the cut heals. What
            // it had is taken, and counts only as long as nobody in reach has
            // a newer one: readiness waits until they have been asked.
            Msg::Input(Input::Saved { version, text }) if shared.version == TextVersion(0) => {
                base::hit!(saved_text_taken);
                self.take(shared, version, &text, out);
            }
            Msg::Input(Input::Checked { version, model }) => {
                self.on_checked(shared, version, model, out);
            }
            Msg::FleetChanged if !self.started => self.start(shared, now, out),
            Msg::Beat(reply) => {
                self.heard = now;
                self.learn(reply.text, None);
            }
            Msg::Replied { purpose, reply } => self.on_reply(shared, now, purpose, reply, out),
            Msg::Drain => {
                self.ready = false;
                out.emit(Output::Ready(false));
            }
            Msg::Called { call, body } => answer(shared, call, &body, out),
            _ => {}
        }
        self.fetch(shared, now, out);
        self.settle(shared, now, out);
    }

    /// Begins to ask around, once it is known whom to ask.
    fn start(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        self.started = true;
        self.ask_around(shared, now, out);
    }

    /// Guards against a thawed process that goes on under the text of hours
    /// ago: it shows as requests served by an adapter's old version after the
    /// new one was accepted. A gap between two wakes longer than any timer
    /// here means that the process stood still, so it is unready until all
    /// sources have told their version or stayed silent for a while.
    fn notice_thaw(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        let slept = self.started && now.since(self.last) > FROZEN;
        self.last = now;
        if slept {
            base::hit!(thawed_asks_around);
            self.ask_around(shared, now, out);
        }
    }

    fn ask_around(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        self.ready = false;
        out.emit(Output::Ready(false));
        self.until = now + FETCH_LIMIT;
        self.waiting = sources(shared);
        for address in self.waiting.clone() {
            ask(shared, address, out);
        }
    }

    /// Asks one source while no leader is heard.
    fn ask_one(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        if now.since(self.heard) < ASK_EVERY * 2 {
            return;
        }
        let all = sources(shared);
        self.turn += 1;
        if let Some(address) = all.iter().nth(self.turn % all.len().max(1)) {
            ask(shared, *address, out);
        }
    }

    fn on_reply(
        &mut self,
        shared: &mut Shared,
        now: Time,
        purpose: Purpose,
        reply: Result<Reply, Verdict>,
        out: &mut Out,
    ) {
        match purpose {
            Purpose::Version { address } => {
                self.waiting.remove(&address);
                if let Ok(Reply::Version(version)) = reply {
                    self.learn(version, Some(address));
                }
            }
            Purpose::Text { address } => {
                self.fetching = false;
                self.again = now + FETCH_PAUSE;
                match reply {
                    Ok(Reply::Text { version, text }) => self.take(shared, version, &text, out),
                    Ok(Reply::Patches {
                        version,
                        digest,
                        patches,
                    }) => self.patch(shared, version, digest, &patches, out),
                    _ if self.holder == Some(address) => self.holder = None,
                    _ => {}
                }
            }
            _ => {}
        }
    }

    fn learn(&mut self, version: TextVersion, holder: Option<SocketAddr>) {
        if version > self.newest {
            self.newest = version;
            self.holder = holder;
        }
    }

    /// Fetches a version that is known to exist.
    ///
    /// Guard: a source that refuses, or a text that this release can't read,
    /// would be asked again as fast as it answers; it would show as an instance
    /// that does nothing else. A fetch follows another after a pause, and an
    /// unreadable version is not fetched twice.
    fn fetch(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        let checking = self.checking.as_ref().map(|(version, _)| *version);
        if self.fetching
            || checking >= Some(self.newest)
            || self.newest <= shared.version.max(self.unreadable)
        {
            return;
        }
        if now < self.again {
            base::hit!(fetch_waits);
            shared.wake(CONFIG, self.again);
            return;
        }
        self.turn += 1;
        let turn = u64::try_from(self.turn).unwrap_or(0);
        let control = shared.control(turn).map(|(_, address)| address);
        let Some(address) = self.holder.or(control) else {
            return;
        };
        self.fetching = true;
        // What can't be patched is asked for as a whole.
        let have = if self.whole {
            TextVersion(0)
        } else {
            shared.version
        };
        let (purpose, body) = (Purpose::Text { address }, Call::Text { have });
        shared.call(CONFIG, purpose, address, body, FETCH_LIMIT, out);
    }

    /// Turns the text in force into the newer one, change by change.
    ///
    /// Guard: a patch made for another text would silently give an instance a
    /// text of its own. The result is compared with the hash of the text that
    /// was meant; where it differs, the whole text is fetched.
    fn patch(
        &mut self,
        shared: &mut Shared,
        version: TextVersion,
        digest: u64,
        patches: &[Patch],
        out: &mut Out,
    ) {
        let mut text = shared.raw.to_string();
        for patch in patches {
            text = patch.apply(&text).unwrap_or_default();
        }
        if patch::digest(&text) != digest {
            base::hit!(patch_does_not_fit);
            self.whole = true;
            return;
        }
        self.take(shared, version, &text, out);
    }

    /// Has a newer text checked before it comes into force.
    ///
    /// Guard: checking a large text takes longer than a token. Done here it
    /// would show as a pause in every stream that passes this instance, with
    /// each change of the text.
    fn take(&mut self, shared: &Shared, version: TextVersion, text: &str, out: &mut Out) {
        self.newest = self.newest.max(version);
        // Guard: a reply that was on its way while a newer text arrived would
        // take a change back; a version never goes down while the process runs.
        let checking = self.checking.as_ref().map(|(version, _)| *version);
        if version <= shared.version.max(checking.unwrap_or_default()) {
            base::hit!(older_text_ignored);
            return;
        }
        let raw: Arc<str> = Arc::from(text);
        self.checking = Some((version, Arc::clone(&raw)));
        out.emit(Output::Check { version, raw });
    }

    fn on_checked(
        &mut self,
        shared: &mut Shared,
        version: TextVersion,
        model: Option<Arc<Model>>,
        out: &mut Out,
    ) {
        // Guard: a check that ends after a newer text has come would take a
        // change back. It shows as an accepted change that is undone for a
        // moment; only the text that came last may come into force.
        let Some((_, raw)) = self.checking.take_if(|(checking, _)| *checking == version) else {
            base::hit!(late_check_ignored);
            return;
        };
        let Some(model) = model else {
            self.unreadable = self.unreadable.max(version);
            out.emit(Output::Event(Event::BadText(version)));
            return;
        };
        self.whole = false;
        shared.version = version;
        shared.model = Arc::clone(&model);
        shared.raw = Arc::clone(&raw);
        out.emit(Output::Text {
            version,
            model,
            raw,
        });
        out.emit(Output::Event(Event::TextInForce(version)));
        for name in ALL {
            out.send(name, Msg::TextChanged);
        }
    }

    fn settle(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        let asked = self.waiting.is_empty() || now >= self.until;
        let newest =
            self.newest <= shared.version.max(self.unreadable) || now >= self.until + FETCH_LIMIT;
        let able = self.started && asked && newest && shared.version > TextVersion(0);
        if able && !self.ready && !shared.draining {
            self.ready = true;
            out.emit(Output::Ready(true));
        }
        shared.wake(CONFIG, now + ASK_EVERY);
        if !asked {
            shared.wake(CONFIG, self.until);
        }
    }
}

fn ask(shared: &mut Shared, address: SocketAddr, out: &mut Out) {
    let purpose = Purpose::Version { address };
    shared.call(CONFIG, purpose, address, Call::Version, CALL_LIMIT, out);
}

/// Answers whoever asks for the version or the text.
fn answer(shared: &Shared, call: u64, body: &Call, out: &mut Out) {
    let body = match body {
        Call::Version => Reply::Version(shared.version),
        Call::Text { have } if *have < shared.version => Reply::Text {
            version: shared.version,
            text: shared.raw.to_string(),
        },
        _ => Reply::Done,
    };
    out.emit(Output::Reply { call, body });
}

/// Returns whom to ask for the newest version.
fn sources(shared: &Shared) -> BTreeSet<SocketAddr> {
    let me = &shared.settings.name;
    let peers = shared.peers.iter().filter(|(name, _)| *name != me);
    let peers = peers.map(|(_, address)| *address);
    let controls = shared.settings.controls.values().copied();
    peers.chain(controls).collect()
}
