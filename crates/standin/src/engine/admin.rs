//! Injects faults on `POST /admin/...`.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use web::{Incoming, Request, Response, StatusCode, body::Body};

use super::state::Engine;
use crate::{
    gate::Silence,
    server::{self, Refused},
    stall::Stall,
};

/// Number of times that a fault happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Number of times; one by default.
    #[serde(default = "once")]
    pub count: u32,
}

/// Duration of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Millis {
    /// Duration in milliseconds.
    pub ms: u64,
}

/// Number of streams to cut, and where.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cut {
    /// Number of streams; one by default.
    #[serde(default = "once")]
    pub count: u32,
    /// Number of tokens after which a stream is cut; the last one may be lost with the
    /// connection.
    pub after: usize,
}

fn once() -> u32 {
    1
}

pub(crate) async fn answer(engine: Arc<Engine>, req: Request<Incoming>) -> Response<Body> {
    let path = req.uri().path().to_owned();
    match inject(&engine, &path, req).await {
        Ok(()) => server::done(),
        Err(refused) => refused.answer(),
    }
}

async fn inject(engine: &Engine, path: &str, req: Request<Incoming>) -> Result<(), Refused> {
    match path {
        "/admin/restart-empty" => engine.restart_empty(),
        "/admin/fail-loads" => {
            let Count { count } = server::body(req).await?;
            engine.state().faults.fail_loads = count;
        }
        "/admin/stall" => {
            let stall: Stall = server::body(req).await?;
            engine.state().faults.stalled = stall.into();
        }
        "/admin/late" => {
            let Millis { ms } = server::body(req).await?;
            engine.state().faults.delay = Duration::from_millis(ms);
        }
        "/admin/cut-stream" => {
            let Cut { count, after } = server::body(req).await?;
            let mut state = engine.state();
            (state.faults.cuts, state.faults.cut_after) = (count, after);
        }
        "/admin/wrong-adapter" => {
            let Count { count } = server::body(req).await?;
            engine.state().faults.wrong_adapter = count;
        }
        "/admin/freeze-connections" => {
            let silence: Silence = server::body(req).await?;
            if !engine.freeze_connections(silence.time()) {
                let why = "the engine was started without --freezable";
                return Err(Refused::new(StatusCode::CONFLICT, why));
            }
        }
        _ => return Err(Refused::new(StatusCode::NOT_FOUND, "unknown fault")),
    }
    Ok(())
}
