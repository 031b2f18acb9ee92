//! A stand-in for the weight store: limits the starts of loads per second, and slows loads
//! down when too many run concurrently.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use anyhow::Result;
use base::PerSecond;
use serde::{Deserialize, Serialize};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep, sleep_until},
};
use web::{Incoming, Request, Response, StatusCode, body::Body};

use crate::server::{self, Running};

/// Interval at which the progress of a load is updated.
const PROGRESS_STEP: Duration = Duration::from_millis(5);

/// The settings of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Loads that may start each second.
    pub rate: PerSecond,
    /// Concurrent loads at full speed; more loads share the bandwidth of these.
    pub parallel: usize,
    /// Duration of a load at full speed.
    pub load_time: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            rate: PerSecond(5),
            parallel: 2,
            load_time: Duration::from_millis(200),
        }
    }
}

/// Statistics of a store, as `GET /admin/stats` returns them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Loads started.
    pub started: u64,
    /// Loads finished.
    pub finished: u64,
    /// Loads in progress.
    pub active: usize,
    /// Highest number of loads in progress at the same time.
    pub peak: usize,
    /// Loads whose start was delayed by the rate limit.
    pub delayed: u64,
}

#[derive(Debug)]
struct Store {
    config: Config,
    /// Time at which the next load may start, and the statistics.
    state: Mutex<(Instant, Stats)>,
}

/// Starts a store. `GET /weights/NAME` answers once the load is done.
///
/// # Errors
///
/// Returns an error if the listener has no address.
pub fn start(listener: TcpListener, config: Config) -> Result<Running> {
    let store = Arc::new(Store {
        config,
        state: Mutex::new((Instant::now(), Stats::default())),
    });
    server::run(listener, move |req| handle(Arc::clone(&store), req))
}

async fn handle(store: Arc<Store>, req: Request<Incoming>) -> Response<Body> {
    match req.uri().path() {
        "/admin/stats" => server::show(&store.lock().1),
        path if path.starts_with("/weights/") => {
            store.load().await;
            web::reply::plain(StatusCode::OK, path)
        }
        _ => server::refuse(StatusCode::NOT_FOUND, "no such path"),
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, (Instant, Stats)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn load(&self) {
        let start = self.reserve();
        sleep_until(start).await;
        let active = Active::new(self);
        let mut done = Duration::ZERO;
        while done < self.config.load_time {
            sleep(PROGRESS_STEP).await;
            done += self.progress();
        }
        self.lock().1.finished += 1;
        drop(active);
    }

    /// Reserves the next start under the rate limit and returns its time.
    fn reserve(&self) -> Instant {
        let gap = Duration::from_secs(1) / self.config.rate.get().max(1);
        let mut state = self.lock();
        let now = Instant::now();
        let start = state.0.max(now);
        state.0 = start + gap;
        state.1.delayed += u64::from(start > now);
        start
    }

    /// Returns the progress of a load in one [`PROGRESS_STEP`], as time at full speed.
    fn progress(&self) -> Duration {
        let active = self.lock().1.active;
        if active <= self.config.parallel {
            return PROGRESS_STEP;
        }
        PROGRESS_STEP.mul_f64(self.config.parallel as f64 / active as f64)
    }
}

/// A load in progress; dropping it frees its share of the bandwidth, also if the caller has
/// disconnected.
struct Active<'a>(&'a Store);

impl<'a> Active<'a> {
    fn new(store: &'a Store) -> Self {
        let stats = &mut store.lock().1;
        stats.started += 1;
        stats.active += 1;
        stats.peak = stats.peak.max(stats.active);
        Active(store)
    }
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.0.lock().1.active -= 1;
    }
}
