//! Streams that break off while targets of two software versions serve, and that go on
//! elsewhere or are taken up by their callers.

use std::{ops::RangeInclusive, sync::Arc, time::Duration};

use futures::future::join_all;
use googletest::prelude::*;
use tokio::{runtime::Builder, time::sleep};

use crate::{
    deployment::{ConfigFn, Deployment, ListFn},
    raw::{self, Ask},
    versioned::{EVENTS, PAUSE, Target},
};

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(5);

/// Streams for each event after which they break off.
pub(crate) const EACH: usize = 4;

/// Time after which all instances know that a target is gone.
pub(crate) const LIST_TIME: Duration = Duration::from_millis(2_500);

/// Where a caller takes its stream up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taker {
    Same,
    Another,
    JustStarted,
    /// Another instance, after the first one was killed.
    AfterKill,
}

impl Taker {
    /// Returns the instances where the stream begins and where it is taken up.
    fn entries(self) -> (u8, u8) {
        match self {
            Taker::Same => (1, 1),
            Taker::Another => (1, 2),
            Taker::JustStarted => (1, 4),
            Taker::AfterKill => (3, 2),
        }
    }
}

/// Part of a stream that a caller has received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Part {
    status: u16,
    /// The ids of its events.
    ids: Vec<usize>,
    /// The software of each event's target.
    software: Vec<String>,
    complete: bool,
}

/// A stream that broke off, and what came when its caller took it up.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    pub(crate) id: String,
    begun: Part,
    rest: Part,
}

impl Stream {
    /// Returns whether it holds events of two versions, or twice the same, or lacks one.
    fn is_wrong(&self) -> bool {
        let mut software: Vec<_> = [&self.begun, &self.rest]
            .iter()
            .flat_map(|part| &part.software)
            .collect();
        software.dedup();
        let ids = [&self.begun, &self.rest].into_iter().flat_map(|p| &p.ids);
        let in_order = ids
            .copied()
            .eq(1..=self.begun.ids.len() + self.rest.ids.len());
        software.len() > 1 || !in_order
    }

    /// Returns whether its caller was told that the rest hasn't run.
    fn was_refused(&self) -> bool {
        self.rest.status == 503 && self.rest.ids.is_empty()
    }

    /// Returns whether its caller took it up.
    fn is_open(&self) -> bool {
        self.rest.status != 0
    }

    fn went_on(&self) -> bool {
        self.rest.complete && self.rest.ids.last() == Some(&EVENTS)
    }
}

/// Streams that one version began and that were taken up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counts {
    pub(crate) all: usize,
    /// Those that went on to their end.
    pub(crate) on: usize,
    /// Those whose caller was told that the rest hasn't run.
    pub(crate) refused: usize,
    pub(crate) wrong: usize,
}

impl Counts {
    pub(crate) fn of(streams: &[Stream], version: &str) -> Counts {
        let open = streams.iter().filter(|s| s.is_open());
        let mut counts = Counts::default();
        for stream in open.filter(|s| s.begun.software[0] == version) {
            counts.all += 1;
            counts.on += usize::from(stream.went_on());
            counts.refused += usize::from(stream.was_refused());
            counts.wrong += usize::from(stream.is_wrong());
        }
        counts
    }
}

pub(crate) struct Fleet {
    pub(crate) targets: Vec<Arc<Target>>,
    pub(crate) deployment: Deployment,
}

impl Fleet {
    /// Starts targets of the software versions `software`, and two entry instances.
    pub(crate) async fn start(software: &[&str]) -> Fleet {
        Fleet::start_with(software, 2).await
    }

    /// Starts targets of the software versions `software`, and no entry instance.
    pub(crate) async fn start_alone(software: &[&str]) -> Fleet {
        Fleet::start_with(software, 0).await
    }

    async fn start_with(software: &[&str], entries: u8) -> Fleet {
        Fleet::start_by(software, |list| Deployment::start_listed(entries, list)).await
    }

    /// As [`Self::start`], with a configuration of its own.
    pub(crate) async fn start_configured(software: &[&str], config: ConfigFn) -> Fleet {
        Fleet::start_by(software, |list| {
            Deployment::start_configured(2, list, config)
        })
        .await
    }

    async fn start_by<F>(software: &[&str], start: impl FnOnce(ListFn) -> F) -> Fleet
    where
        F: Future<Output = Deployment>,
    {
        let targets = software.iter().enumerate();
        let targets = targets.map(|(no, version)| {
            let id = format!("t{no}");
            async move { Target::start(&id, version).await }
        });
        let targets = join_all(targets).await;
        let listed = targets.clone();
        let list: ListFn =
            Arc::new(move || listed.iter().filter_map(|target| target.list()).collect());
        let deployment = start(list).await;
        Fleet {
            targets,
            deployment,
        }
    }

    /// Begins a stream and leaves it after the event `leave`.
    pub(crate) async fn begin(&self, entry: u8, leave: usize, path: &str, body: String) -> Stream {
        let id = format!("s{}", self.deployment.next_id());
        let addr = self.deployment.caller_addr(entry);
        let ask = Ask {
            path,
            id: id.clone(),
            minor: 1,
            deadline: DEADLINE,
            tokens: 200,
            fields: Vec::new(),
            body,
        };
        let enough = format!("id: {leave}\n");
        let received = raw::ask_until(addr, &ask, |text| text.contains(&enough)).await;
        Stream {
            id,
            begun: Part::from(received),
            rest: Part::default(),
        }
    }

    /// Takes a stream up under a new id.
    pub(crate) async fn take_up(&self, entry: u8, stream: &mut Stream) {
        let named = vec![("resumes", stream.id.clone())];
        self.take_up_with(entry, stream, named, EVENTS + 1).await;
    }

    /// Takes a stream up with these headers, and leaves it after the event `leave`.
    pub(crate) async fn take_up_with(
        &self,
        entry: u8,
        stream: &mut Stream,
        named: Vec<(&'static str, String)>,
        leave: usize,
    ) {
        let last = stream.begun.ids.len();
        if last == 0 || last == EVENTS {
            return;
        }
        let mut fields = vec![("resume", last.to_string())];
        fields.extend(named);
        let ask = Ask {
            path: "/resumable/x",
            id: format!("s{}", self.deployment.next_id()),
            minor: 1,
            deadline: DEADLINE,
            tokens: 200,
            fields,
            body: String::new(),
        };
        let enough = format!("id: {leave}\n");
        let addr = self.deployment.caller_addr(entry);
        let received = raw::ask_until(addr, &ask, |text| text.contains(&enough)).await;
        stream.rest = Part::from(received);
    }

    /// Begins streams at one instance that break off after each event.
    pub(crate) async fn begin_all(&self, taker: Taker) -> Vec<Stream> {
        let (entry, _) = taker.entries();
        let each = (1..EVENTS).flat_map(|event| std::iter::repeat_n(event, EACH));
        if taker != Taker::AfterKill {
            let begun = each.map(|event| self.begin(entry, event, "/resumable/x", String::new()));
            return join_all(begun).await;
        }
        let begun = each.map(|event| async move {
            sleep(PAUSE * u32::try_from(EVENTS - event).unwrap()).await;
            self.begin(entry, EVENTS, "/resumable/x", String::new())
                .await
        });
        let kill = async {
            sleep(PAUSE * u32::try_from(EVENTS).unwrap()).await;
            self.deployment.kill_entry(entry);
        };
        tokio::join!(join_all(begun), kill).0
    }

    /// Ends targets of the version `software` until only `left` serve.
    async fn leave(&self, software: &str, left: usize) {
        let all = self.targets.iter();
        let of_version: Vec<_> = all.filter(|t| t.software() == software).collect();
        for target in &of_version[left..] {
            target.end();
            target.unlist();
        }
        if of_version.len() > left {
            sleep(LIST_TIME).await;
        }
    }
}

impl From<raw::Received> for Part {
    fn from(received: raw::Received) -> Part {
        if received.status != 200 {
            return Part {
                status: received.status,
                ..Part::default()
            };
        }
        let whole = received
            .body
            .rfind("\n\n")
            .map_or("", |end| &received.body[..end]);
        let lines = |name: &'static str| {
            let lines = whole
                .lines()
                .filter_map(move |line| line.strip_prefix(name));
            lines.map(str::to_owned)
        };
        Part {
            status: 200,
            ids: lines("id: ").map(|id| id.parse().unwrap()).collect(),
            software: lines("data: ").collect(),
            complete: received.complete,
        }
    }
}

pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(test);
}

/// Checks streams that callers take up while `left` targets of the version that began them
/// serve.
fn check_taken_up(left: usize) {
    const TAKERS: [Taker; 4] = [
        Taker::Same,
        Taker::Another,
        Taker::JustStarted,
        Taker::AfterKill,
    ];
    run(async {
        let fleet = Fleet::start(&["v1", "v1", "v2", "v2"]).await;
        fleet.deployment.start_entry_alone(3);
        fleet.deployment.wait_ready(3).await;
        let begun = join_all(TAKERS.map(|taker| fleet.begin_all(taker))).await;
        fleet.leave("v1", left).await;
        fleet.deployment.start_entry_alone(4);
        fleet.deployment.wait_ready(4).await;
        let mut faults = Vec::new();
        for (taker, mut streams) in TAKERS.into_iter().zip(begun) {
            let (_, entry) = taker.entries();
            let taken_up = streams.iter_mut().map(|s| fleet.take_up(entry, s));
            join_all(taken_up).await;
            let open = streams.iter().filter(|s| s.is_open()).count();
            if open < streams.len() / 2 {
                faults.push(format!("{taker:?}: {open} streams taken up"));
            }
            for version in ["v1", "v2"] {
                let serving = if version == "v1" { left } else { 2 };
                let counts = Counts::of(&streams, version);
                println!("{taker:?}, {version} ({serving} serve): {counts:?}");
                let told = counts.on + counts.refused == counts.all;
                if counts.wrong > 0 || !told || serving > 0 && 2 * counts.on < counts.all {
                    faults.push(format!("{taker:?}, {version}: {counts:?}"));
                }
            }
        }
        assert_that!(faults, is_empty());
    });
}

base::cases! {
    /// Guards against a stream whose caller takes it up and gets the rest of another software
    /// version, and against one that could go on and doesn't.
    streams_are_taken_up_at_the_version_that_began_them: check_taken_up => {
        two_targets_left: 2,
        one_target_left: 1,
        no_target_left: 0,
    }
}

/// Checks streams that a target breaks off and that go on within their answer, if another
/// target of its version serves.
fn check_broken_off((software, path, others): (&[&str], &str, RangeInclusive<usize>)) {
    run(async {
        let fleet = Fleet::start(software).await;
        let each = (1..EVENTS).flat_map(|event| std::iter::repeat_n(event, 4 * EACH));
        let begun = each.map(|event| fleet.begin(1, EVENTS + 1, path, format!("break {event}")));
        let streams = join_all(begun).await;
        let wrong = streams.iter().filter(|s| s.is_wrong()).count();
        let on = streams.iter().filter(|s| s.begun.complete).count();
        println!(
            "{on} of {} went on, {wrong} at another version",
            streams.len()
        );
        let share = 100 * on / streams.len();
        assert_that!(
            (wrong, others.contains(&share)),
            eq((0, true)),
            "{share} % went on"
        );
    });
}

base::cases! {
    /// Guards against a stream that goes on within its answer at another software version.
    streams_go_on_at_the_version_that_began_them: check_broken_off => {
        another_of_each: (&["v1", "v1", "v2", "v2"], "/resumable/x", 90..=100),
        no_other: (&["v1", "v2"], "/resumable/x", 0..=0),
        from_a_copy: (&["v1", "v1", "v2", "v2"], "/x", 90..=100),
        from_a_copy_no_other: (&["v1", "v2"], "/x", 0..=0),
    }
}

/// Returns the headers by which a caller names the attempt with an id.
type Naming = fn(&str) -> Vec<(&'static str, String)>;

/// Ways of naming no attempt, or none that can be read or was ever seen.
const UNKNOWN: [Naming; 5] = [
    |_| Vec::new(),
    |id| vec![("resumes", format!("{id}\u{e9}"))],
    |id| vec![("resumes", id.to_owned()), ("resumes", id.to_owned())],
    |id| vec![("resumes", id.repeat(2_000))],
    |_| vec![("resumes", String::new())],
];

/// Checks streams whose callers name no attempt that is known.
fn check_unknown((software, goes_on): (&[&str], bool)) {
    run(async {
        let fleet = Fleet::start(software).await;
        for naming in UNKNOWN {
            let mut streams = fleet.begin_all(Taker::Another).await;
            let taken_up = streams.iter_mut().map(|stream| {
                let named = naming(&stream.id);
                fleet.take_up_with(2, stream, named, EVENTS + 1)
            });
            join_all(taken_up).await;
            let wrong = streams.iter().filter(|s| s.is_wrong()).count();
            let on = streams.iter().filter(|s| s.went_on()).count();
            let refused = streams.iter().filter(|s| s.was_refused()).count();
            let expected = match goes_on {
                true => (0, streams.len(), 0),
                false => (0, 0, streams.len()),
            };
            assert_that!((wrong, on, refused), eq(expected));
        }
    });
}

base::cases! {
    /// Guards against a stream of an unknown origin that goes on at any software version, and
    /// against one that is refused though there has been one version only.
    streams_of_unknown_origin_go_on_where_one_version_serves: check_unknown => {
        one_version: (&["v1", "v1"], true),
        two_versions: (&["v1", "v2"], false),
        no_version: (&["", ""], false),
    }
}

/// Guards against the third part of a stream at another version, where its caller has taken
/// it up twice: the first attempt is named each time.
#[test]
fn a_stream_is_taken_up_twice_at_its_version() {
    run(async {
        let fleet = Fleet::start(&["v1", "v1", "v2", "v2", "v3"]).await;
        let begun = (0..60).map(|_| fleet.begin(1, 2, "/resumable/x", String::new()));
        let mut streams = join_all(begun).await;
        let second = streams.iter_mut().map(|stream| {
            let named = vec![("resumes", stream.id.clone())];
            fleet.take_up_with(2, stream, named, 4)
        });
        join_all(second).await;
        for stream in &mut streams {
            let rest = std::mem::take(&mut stream.rest);
            stream.begun.ids.extend(rest.ids);
            stream.begun.software.extend(rest.software);
        }
        let third = streams.iter_mut().map(|s| fleet.take_up(1, s));
        join_all(third).await;
        let wrong = streams.iter().filter(|s| s.is_wrong()).count();
        let on = streams.iter().filter(|s| s.went_on()).count();
        assert_that!((wrong, on), eq((0, streams.len())));
    });
}

/// Guards against a stream that goes on at a target that has started again under its id with
/// another version, which the platform's list doesn't show yet.
#[test]
fn a_target_that_starts_again_with_another_version_gets_no_rest() {
    run(async {
        let fleet = Fleet::start(&["v1", "v1"]).await;
        let mut streams = fleet.begin_all(Taker::Another).await;
        // Streams that break as the target ends show that it does.
        let broken = (0..20).map(|_| fleet.begin(1, EVENTS + 1, "/resumable/x", String::new()));
        let restart = async {
            sleep(PAUSE).await;
            let again = Duration::from_millis(300);
            fleet.targets[0].restart("v2", again).await;
        };
        let (broken, ()) = tokio::join!(join_all(broken), restart);
        let taken_up = streams.iter_mut().map(|s| fleet.take_up(2, s));
        join_all(taken_up).await;
        let all = streams.iter().chain(&broken);
        let wrong = all.filter(|s| s.is_wrong()).count();
        let on = streams.iter().filter(|s| s.went_on()).count();
        assert_that!((wrong, on), eq((0, streams.len())));
    });
}
