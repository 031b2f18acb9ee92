//! Downloads the newest edition, which is one numbered configuration, from control
//! instances and puts it into force.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::Time;
use daemon::lock;
use gateway::download::{Download, PartRequest, PartResult};
use telemetry::event;
use tokio::{sync::Notify, time::sleep};
use wire::call::{Call, Reply};

use super::state::State;

/// Time-out of one part. A link of 10 Mbit/s carries the largest part in 52 ms, so that a
/// tenth of its rate is enough. After the time-out another source is asked.
const PART_TIMEOUT: Duration = Duration::from_millis(600);

/// Pause after a part that was not received, so that a source that refuses connections
/// isn't asked in a busy loop.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The newest editions that control instances have announced, and the download of the
/// newest one.
#[derive(Default)]
pub(super) struct Editions {
    download: Mutex<Download<SocketAddr>>,
    /// Notified when there may be a part to ask for.
    announced: Notify,
}

impl Editions {
    /// Notes the newest edition of a control instance. Sources with a lower rank are
    /// asked first.
    pub(super) fn announced(&self, source: SocketAddr, newest: u64, rank: u64) {
        lock(&self.download).announced(source, newest, rank);
        self.announced.notify_one();
    }

    /// Notes that a control instance is unresponsive.
    pub(super) fn lost(&self, source: SocketAddr) {
        lock(&self.download).remove_source(source);
    }

    fn ask(&self, now: Time) -> Option<PartRequest<SocketAddr>> {
        lock(&self.download).next_request(now)
    }
}

/// Downloads editions for as long as the process runs.
pub(super) async fn run(state: Arc<State>) {
    loop {
        match state.editions.ask(state.now()) {
            Some(ask) => fetch_part(&state, ask).await,
            None => state.editions.announced.notified().await,
        }
    }
}

async fn fetch_part(state: &State, ask: PartRequest<SocketAddr>) {
    let call = Call::Edition {
        number: ask.number,
        from: ask.from,
    };
    let link = state.links.to(ask.source);
    let got = match link.call(call, PART_TIMEOUT).await {
        Ok(Reply::Edition(Some(part))) => PartResult::Part(part),
        Ok(Reply::Edition(None)) => PartResult::Missing,
        _ => PartResult::Failed,
    };
    let no_answer = matches!(got, PartResult::Failed);
    let answered = lock(&state.editions.download).handle_result(state.now(), got);
    match answered {
        Ok(Some((number, text))) => put_in_force(state, number, &text),
        Ok(None) if no_answer => sleep(RETRY_PAUSE).await,
        Ok(None) => {}
        Err(why) => {
            let control = ask.source.to_string();
            event!(
                telemetry::Event::PeerRefused,
                control = control,
                why = why.to_string()
            );
            sleep(RETRY_PAUSE).await;
        }
    }
}

fn put_in_force(state: &State, number: u64, text: &str) {
    match (state.platform.decode)(text) {
        Ok(decoded) => {
            let tight = decoded.table.has_tight_goals();
            if state.set_table(number, decoded.table) {
                state.view().set_tight(tight);
                state.budget().set_tight(tight);
                state.hedging().set_tight(tight);
                event!(
                    telemetry::Event::TextInForce,
                    version = number,
                    tight = tight
                );
                state.changed.notify_waiters();
            }
        }
        Err(why) => event!(telemetry::Event::TextBroken, version = number, why = why),
    }
}
