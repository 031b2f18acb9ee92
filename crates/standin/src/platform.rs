//! A stand-in for the platform: its list of instances and targets, shown with a delay.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use anyhow::Result;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, time::Instant};
use web::{Incoming, Request, Response, StatusCode, body::Body};
use wire::platform::{Instance, List, Target};

use crate::server::{self, Running};

/// A change of the list, the JSON body of `POST /admin`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Replaces the list except for its serial number.
    List(List),
    /// Adds an instance, or replaces the one of its name.
    Instance(Instance),
    /// Adds a target, or replaces the one of its name.
    Target(Target),
    /// Removes the instance or target of this name.
    Remove(String),
}

#[derive(Debug)]
struct Platform {
    /// Delay until a change is shown.
    lag: Duration,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// The list with all changes.
    newest: List,
    /// Lists that are not old enough to be shown, with the time of their change.
    pending: VecDeque<(Instant, List)>,
    /// The list as it is shown.
    shown: List,
}

/// Starts the platform, whose `GET /v1/list` shows a change after `lag`.
///
/// # Errors
///
/// Returns an error if the listener has no address.
pub fn start(listener: TcpListener, list: List, lag: Duration) -> Result<Running> {
    let state = State {
        newest: list.clone(),
        pending: VecDeque::new(),
        shown: list,
    };
    let platform = Arc::new(Platform {
        lag,
        state: Mutex::new(state),
    });
    server::run(listener, move |req| handle(Arc::clone(&platform), req))
}

async fn handle(platform: Arc<Platform>, req: Request<Incoming>) -> Response<Body> {
    match req.uri().path() {
        "/v1/list" => server::show(&platform.shown()),
        "/admin" => match server::body(req).await {
            Ok(change) => {
                platform.change(change);
                server::done()
            }
            Err(refused) => refused.answer(),
        },
        _ => server::refuse(StatusCode::NOT_FOUND, "no such path"),
    }
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn shown(&self) -> List {
        let mut state = self.lock();
        let due = |at: &Instant| at.elapsed() >= self.lag;
        while state.pending.front().is_some_and(|(at, _)| due(at)) {
            if let Some((_, list)) = state.pending.pop_front() {
                state.shown = list;
            }
        }
        state.shown.clone()
    }

    fn change(&self, change: Change) {
        let mut state = self.lock();
        let serial = state.newest.serial + 1;
        let list = &mut state.newest;
        match change {
            Change::List(new) => *list = new,
            Change::Instance(new) => {
                list.instances.retain(|old| old.name != new.name);
                list.instances.push(new);
            }
            Change::Target(new) => {
                list.targets.retain(|old| old.name != new.name);
                list.targets.push(new);
            }
            Change::Remove(name) => {
                list.instances.retain(|old| old.name.as_str() != name);
                list.targets.retain(|old| old.name.as_str() != name);
            }
        }
        list.serial = serial;
        let entry = (Instant::now(), list.clone());
        state.pending.push_back(entry);
    }
}
