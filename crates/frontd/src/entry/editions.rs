//! Gets the newest edition from control instances, and puts it into force.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::Time;
use daemon::lock;
use gateway::download::{Ask, Download, Got};
use telemetry::event;
use tokio::{sync::Notify, time::sleep};
use wire::call::{Call, Reply};

use super::state::State;

/// How long one part may take: a link of 10 Mbit/s carries the largest in 52 ms, so
/// that a tenth of it is enough. Another source is asked then.
const LIMIT: Duration = Duration::from_millis(600);

/// Pause after a part that didn't come, so that a source that refuses connections
/// isn't asked without end.
const PAUSE: Duration = Duration::from_millis(50);

/// What control instances say of their editions, and what has come of the newest.
#[derive(Default)]
pub(super) struct Editions {
    download: Mutex<Download<SocketAddr>>,
    /// Rung when there may be something to ask for.
    told: Notify,
}

impl Editions {
    /// Takes the newest edition of a control instance; those of a lower rank are asked
    /// first.
    pub(super) fn told(&self, source: SocketAddr, newest: u64, rank: u64) {
        lock(&self.download).told(source, newest, rank);
        self.told.notify_one();
    }

    /// Notes that a control instance isn't heard any more.
    pub(super) fn lost(&self, source: SocketAddr) {
        lock(&self.download).lost(source);
    }

    fn ask(&self, now: Time) -> Option<Ask<SocketAddr>> {
        lock(&self.download).ask(now)
    }
}

/// Gets editions for as long as the process runs.
pub(super) async fn run(state: Arc<State>) {
    loop {
        match state.editions.ask(state.now()) {
            Some(ask) => get(&state, ask).await,
            None => state.editions.told.notified().await,
        }
    }
}

async fn get(state: &State, ask: Ask<SocketAddr>) {
    let call = Call::Edition {
        number: ask.number,
        from: ask.from,
    };
    let link = state.links.to(ask.source);
    let got = match link.call(call, LIMIT).await {
        Ok(Reply::Edition(Some(part))) => Got::Part(part),
        Ok(Reply::Edition(None)) => Got::Without,
        _ => Got::Nothing,
    };
    let nothing = matches!(got, Got::Nothing);
    let answered = lock(&state.editions.download).answered(state.now(), got);
    match answered {
        Ok(Some((number, text))) => put_in_force(state, number, &text),
        Ok(None) if nothing => sleep(PAUSE).await,
        Ok(None) => {}
        Err(why) => {
            let control = ask.source.to_string();
            event!(
                telemetry::Event::PeerRefused,
                control = control,
                why = why.to_string()
            );
            sleep(PAUSE).await;
        }
    }
}

fn put_in_force(state: &State, number: u64, text: &str) {
    match (state.platform.decode)(text) {
        Ok(decoded) => {
            if state.set_table(number, decoded.table) {
                event!(telemetry::Event::TextInForce, version = number);
                state.changed.notify_waiters();
            }
        }
        Err(why) => event!(telemetry::Event::TextBroken, version = number, why = why),
    }
}
