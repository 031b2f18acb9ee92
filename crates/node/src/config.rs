//! Keeps the newest accepted version of the text in force on this node.
//!
//! The text is the operators' configuration: brands, services, adapters and
//! pools. The leader names the newest version in every reply to a heartbeat, and
//! a node that is behind fetches it. Without a leader the node asks the other
//! entry instances: a text that reached one instance of a zone before the zone
//! was cut off comes into force in the whole zone.

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
    shared::{CALL_TIMEOUT, Out, Purpose, Shared},
};

/// Time limit for fetching a text: a few megabytes between zones.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time between two version queries of a node without a leader. Two of them fit
/// into the three seconds within which a change has to be in force.
const QUERY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Minimum time between two fetches of a text.
const FETCH_PAUSE: Duration = Duration::from_millis(200);

/// Time between two inputs from which on the process is taken to have been
/// frozen (a stopped process, a paused virtual machine). It may have missed
/// changes of the text.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(2_500);

/// State of fetching and checking newer texts.
#[derive(Debug, Default)]
pub(crate) struct Config {
    /// Whether a list has been received, so that there are sources to query.
    started: bool,
    /// Last value of [`Output::Ready`].
    ready: bool,
    /// Sources that have not answered the query of all sources, which is made
    /// after a start and after a freeze.
    unanswered: BTreeSet<SocketAddr>,
    /// When that query ends, even if some sources did not answer.
    query_until: Time,
    /// When the last input was handled.
    last_input: Time,
    /// When the leader last replied to a heartbeat.
    leader_heard: Time,
    /// Newest version known to exist.
    newest: TextVersion,
    /// Instance that has the newest version; none for the control instances.
    source: Option<SocketAddr>,
    /// Whether a fetch is outstanding.
    fetching: bool,
    /// Earliest time of the next fetch.
    fetch_after: Time,
    /// Newest version that this release can't read; only newer ones are
    /// fetched.
    unreadable: TextVersion,
    /// The text that is being checked.
    checking: Option<(TextVersion, Arc<str>)>,
    /// Whether the next fetch asks for the full text instead of patches.
    full: bool,
    /// Selects the next source to query or to fetch from.
    rotation: usize,
}

impl Config {
    pub(crate) fn handle(&mut self, shared: &mut Shared, now: Time, msg: Msg, out: &mut Out) {
        self.detect_freeze(shared, now, out);
        match msg {
            Msg::Wake => self.query_one(shared, now, out),
            // Guard: an instance that restarts in a zone that is cut off can't
            // fetch a text, and would serve nothing until the connection is
            // back. It uses the text saved on disk. As another instance may
            // have a newer one, it only becomes ready after querying all
            // sources.
            Msg::Input(Input::Saved { version, text }) if shared.version == TextVersion(0) => {
                base::hit!(saved_text_taken);
                self.check_text(shared, version, &text, out);
            }
            Msg::Input(Input::Checked { version, model }) => {
                self.on_checked(shared, version, model, out);
            }
            Msg::FleetChanged if !self.started => self.start(shared, now, out),
            Msg::HeartbeatReply(reply) => {
                self.leader_heard = now;
                self.note_version(reply.text, None);
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
        self.update_readiness(shared, now, out);
    }

    /// Queries all sources for the first time, when the first list names them.
    fn start(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        self.started = true;
        self.query_all(shared, now, out);
    }

    /// Detects that the process was frozen.
    ///
    /// Guard: such a process would go on with a text that is hours old, and
    /// serve requests with an old version of an adapter after a new one was
    /// accepted. A gap between two inputs that is longer than any timer of this
    /// module means that the process did not run. It is not ready until all
    /// sources have answered with their version or have timed out.
    fn detect_freeze(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        let frozen = self.started && now.since(self.last_input) > FREEZE_THRESHOLD;
        self.last_input = now;
        if frozen {
            base::hit!(freeze_detected);
            self.query_all(shared, now, out);
        }
    }

    fn query_all(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        self.ready = false;
        out.emit(Output::Ready(false));
        self.query_until = now + FETCH_TIMEOUT;
        self.unanswered = sources(shared);
        for address in self.unanswered.clone() {
            query(shared, address, out);
        }
    }

    /// Queries one source if no leader has replied for two query intervals.
    fn query_one(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        if now.since(self.leader_heard) < QUERY_INTERVAL * 2 {
            return;
        }
        let all = sources(shared);
        self.rotation += 1;
        if let Some(address) = all.iter().nth(self.rotation % all.len().max(1)) {
            query(shared, *address, out);
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
                self.unanswered.remove(&address);
                if let Ok(Reply::Version(version)) = reply {
                    self.note_version(version, Some(address));
                }
            }
            Purpose::Text { address } => {
                self.fetching = false;
                self.fetch_after = now + FETCH_PAUSE;
                match reply {
                    Ok(Reply::Text { version, text }) => {
                        self.check_text(shared, version, &text, out)
                    }
                    Ok(Reply::Patches {
                        version,
                        digest,
                        patches,
                    }) => self.apply_patches(shared, version, digest, &patches, out),
                    _ if self.source == Some(address) => self.source = None,
                    _ => {}
                }
            }
            _ => {}
        }
    }

    fn note_version(&mut self, version: TextVersion, source: Option<SocketAddr>) {
        if version > self.newest {
            self.newest = version;
            self.source = source;
        }
    }

    /// Fetches the newest known version, unless it is in force or on its way.
    ///
    /// Guard: a source that refuses, or a text that this release can't read,
    /// would be fetched in a busy loop. There is a pause between two fetches,
    /// and an unreadable version is not fetched twice.
    fn fetch(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        let checking = self.checking.as_ref().map(|(version, _)| *version);
        if self.fetching
            || checking >= Some(self.newest)
            || self.newest <= shared.version.max(self.unreadable)
        {
            return;
        }
        if now < self.fetch_after {
            base::hit!(fetch_waits);
            shared.wake(CONFIG, self.fetch_after);
            return;
        }
        self.rotation += 1;
        let rotation = u64::try_from(self.rotation).unwrap_or(0);
        let control = shared.control(rotation).map(|(_, address)| address);
        let Some(address) = self.source.or(control) else {
            return;
        };
        self.fetching = true;
        // Version 0 asks for the full text, after patches that did not apply.
        let have = if self.full {
            TextVersion(0)
        } else {
            shared.version
        };
        let (purpose, body) = (Purpose::Text { address }, Call::Text { have });
        shared.call(CONFIG, purpose, address, body, FETCH_TIMEOUT, out);
    }

    /// Applies patches to the text in force, which gives the newer text.
    ///
    /// Guard: a patch made for another text would silently produce a text that
    /// no other instance has. The result's hash is compared with that of the
    /// intended text; if it differs, the full text is fetched.
    fn apply_patches(
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
            self.full = true;
            return;
        }
        self.check_text(shared, version, &text, out);
    }

    /// Requests the check of a newer text, after which it comes into force.
    ///
    /// Guard: checking a large text takes longer than generating a token. Done
    /// here, each change of the text would stall every stream that passes
    /// through this instance, so the driver does it in the background.
    fn check_text(&mut self, shared: &Shared, version: TextVersion, text: &str, out: &mut Out) {
        self.newest = self.newest.max(version);
        // Guard: a reply that arrives after that of a newer text would revert
        // an accepted change. The version never decreases while the process
        // runs.
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
        // Guard: a check that ends after that of a newer text would revert an
        // accepted change for a moment. Only the text that was received last
        // may come into force.
        let Some((_, raw)) = self.checking.take_if(|(checking, _)| *checking == version) else {
            base::hit!(late_check_ignored);
            return;
        };
        let Some(model) = model else {
            self.unreadable = self.unreadable.max(version);
            out.emit(Output::Event(Event::BadText(version)));
            return;
        };
        self.full = false;
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

    fn update_readiness(&mut self, shared: &mut Shared, now: Time, out: &mut Out) {
        let asked = self.unanswered.is_empty() || now >= self.query_until;
        let newest = self.newest <= shared.version.max(self.unreadable)
            || now >= self.query_until + FETCH_TIMEOUT;
        let able = self.started && asked && newest && shared.version > TextVersion(0);
        if able && !self.ready && !shared.draining {
            self.ready = true;
            out.emit(Output::Ready(true));
        }
        shared.wake(CONFIG, now + QUERY_INTERVAL);
        if !asked {
            shared.wake(CONFIG, self.query_until);
        }
    }
}

fn query(shared: &mut Shared, address: SocketAddr, out: &mut Out) {
    let purpose = Purpose::Version { address };
    shared.call(CONFIG, purpose, address, Call::Version, CALL_TIMEOUT, out);
}

/// Answers a call for the version or the text in force.
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

/// Returns the peers and control instances that can be queried for the newest
/// version.
fn sources(shared: &Shared) -> BTreeSet<SocketAddr> {
    let me = &shared.settings.name;
    let peers = shared.peers.iter().filter(|(name, _)| *name != me);
    let peers = peers.map(|(_, address)| *address);
    let controls = shared.settings.controls.values().copied();
    peers.chain(controls).collect()
}
