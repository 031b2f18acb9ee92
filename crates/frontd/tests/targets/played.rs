//! Requests to scripted targets, and what became of them.

use std::time::{Duration, Instant};

use tokio::{runtime::Builder, time::sleep};

use crate::{
    deployment::Deployment,
    raw::{self, Ask, Received},
    scripted::{Content, MORE, Runs, Script, Seen},
};

pub(crate) const STREAM: &str = "/x";
pub(crate) const RESUMABLE: &str = "/resumable/x";
pub(crate) const REPEATABLE: &str = "/repeatable/x";
pub(crate) const ONCE: &str = "/once/x";

/// Deadline of a request. A target counts as silent after two seconds.
pub(crate) const DEADLINE: Duration = Duration::from_secs(5);

/// Time within which a target that isn't taken is left: two may work on one request for as long.
pub(crate) const LEFT_WITHIN: Duration = Duration::from_millis(400);

/// What became of one request.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) path: &'static str,
    pub(crate) script: Script,
    pub(crate) received: Received,
    pub(crate) took: Duration,
    pub(crate) runs: Runs,
}

impl Outcome {
    pub(crate) fn sends(&self) -> usize {
        self.runs.reached.len()
    }

    /// Returns whether the caller got the whole answer of the target that had it first.
    pub(crate) fn is_first(&self) -> bool {
        self.is(&self.script.content.text(0))
    }

    /// Returns whether the caller got the whole answer that another target completed.
    pub(crate) fn is_second(&self) -> bool {
        self.is(&(self.script.content.text(0) + MORE))
    }

    fn is(&self, text: &str) -> bool {
        let got = &self.received;
        got.status == 200 && got.complete && got.body == text
    }
}

/// Returns a request with a new id.
pub(crate) fn request(deployment: &Deployment, path: &'static str, script: Script) -> Ask<'static> {
    Ask {
        path,
        id: format!("a{:04}", deployment.next_id()),
        minor: 1,
        deadline: DEADLINE,
        tokens: 50,
        fields: Vec::new(),
        body: script.body(),
    }
}

/// Returns what became of a request at all targets.
pub(crate) fn runs(seen: &Seen, id: &str) -> Runs {
    seen.lock().unwrap().get(id).cloned().unwrap_or_default()
}

/// Sends a request, and waits until a target that was left has noticed it.
pub(crate) async fn play(
    deployment: &Deployment,
    seen: &Seen,
    path: &'static str,
    script: Script,
) -> Outcome {
    let ask = request(deployment, path, script);
    let begun = Instant::now();
    let received = raw::ask(deployment.caller_addr(1), &ask).await;
    let took = begun.elapsed();
    sleep(LEFT_WITHIN).await;
    Outcome {
        path,
        script,
        received,
        took,
        runs: runs(seen, &ask.id),
    }
}

pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    let mut builder = Builder::new_multi_thread();
    let runtime = builder.worker_threads(2).enable_all().build().unwrap();
    runtime.block_on(test)
}

/// Returns the text of a stream that another target completes.
pub(crate) fn completed() -> String {
    Content::Lf.text(0) + MORE
}
