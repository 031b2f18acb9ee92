//! Some entry instances and targets in virtual time, from a seed.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use base::{Seed, Time};
use gateway::{
    budget::{Budget, Limits},
    hedge::{Due, HedgeLimit, Hedging, Plan, Withheld},
    table::{Kind, Route},
    view::{Choice, Second, View},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use wire::fleet::Target;

pub(crate) const SERVICE: &str = "s";

/// How long callers ask.
pub(crate) const PLAYED: Duration = Duration::from_secs(120);

/// Time after which what callers see counts: instances may send more by then.
const WARM: Duration = Duration::from_secs(25);

/// Time between two exchanges about what runs.
const EXCHANGE: Duration = Duration::from_millis(250);

/// Time limit of a request.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// Slots of a target.
const SLOTS: u32 = 8;

const ZONES: [&str; 3] = ["za", "zb", "zc"];

/// A kind of deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fleet {
    pub(crate) targets: usize,
    pub(crate) instances: usize,
    /// Bounds of the time to the first event at a typical target, in milliseconds.
    pub(crate) answer_ms: (u64, u64),
    /// Time within which callers want the first event.
    pub(crate) goal: Duration,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Played {
    pub(crate) fleet: Fleet,
    pub(crate) seed: u64,
    pub(crate) limit: Option<HedgeLimit>,
    /// Whether the text has tight goals.
    pub(crate) tight: bool,
    /// Requests a second, over all instances.
    pub(crate) rate: f64,
    /// How many times as long as others this many targets take.
    pub(crate) slow: (usize, u32),
    /// How many targets say nothing for two seconds out of ten.
    pub(crate) pausing: usize,
    /// Restarts of all instances, and the limit from then on.
    pub(crate) restarts: Option<(Duration, Option<HedgeLimit>)>,
}

/// What callers and targets have seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Seen {
    /// Times to the first event of requests after the first seconds, sorted at the end; those
    /// without one count as the time limit.
    pub(crate) times: Vec<Duration>,
    /// Requests of each instance.
    pub(crate) requests: BTreeMap<usize, Vec<Time>>,
    /// Extra sends of each instance.
    pub(crate) hedges: BTreeMap<usize, Vec<Time>>,
    pub(crate) withheld: BTreeMap<&'static str, usize>,
    /// The target of each send.
    pub(crate) sends: Vec<(Time, String)>,
    /// Work of targets on answers that nobody took.
    pub(crate) vain: Duration,
}

impl Seen {
    /// Returns the time within which a part `q` of requests had the first event.
    pub(crate) fn quantile(&self, q: f64) -> Duration {
        self.times[((self.times.len() - 1) as f64 * q) as usize]
    }

    pub(crate) fn hedged(&self) -> usize {
        self.hedges.values().map(Vec::len).sum()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Exchange,
    Restart,
    /// Of a request.
    HedgeDue(usize),
    /// Of a run.
    Answer(usize),
    /// Of a request.
    Deadline(usize),
}

struct Instance {
    view: View,
    hedging: Hedging,
    budget: Budget,
}

struct Request {
    at: Time,
    instance: usize,
    plan: Option<Plan>,
    runs: Vec<usize>,
    over: bool,
}

struct Run {
    request: usize,
    target: usize,
    sent: Time,
    /// When its target began to work on it.
    begun: Option<Time>,
    over: bool,
}

pub(crate) struct World {
    played: Played,
    rng: StdRng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    order: u64,
    route: Route,
    targets: Vec<Target>,
    /// Runs that wait at each target.
    queues: Vec<Vec<usize>>,
    working: Vec<u32>,
    instances: Vec<Instance>,
    requests: Vec<Request>,
    runs: Vec<Run>,
    seen: Seen,
}

/// Plays and returns what was seen.
pub(crate) fn play(played: Played) -> Seen {
    let mut world = World::new(played);
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.now = at;
        world.step(event);
    }
    world.seen.times.sort();
    world.seen
}

/// Returns a route that may be sent to two targets.
pub(crate) fn route(goal: Duration) -> Route {
    Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: Kind::Stream { resumable: true },
        limit: TIME_LIMIT,
        goal: Some(goal),
        priority: 1,
        split: vec![(SERVICE.to_owned(), 1)],
        attempts: 2,
        public: false,
    }
}

/// Returns a target that takes requests.
pub(crate) fn target(no: usize, zone: &str) -> Target {
    Target {
        id: format!("t{no}"),
        service: SERVICE.to_owned(),
        addr: format!("10.0.0.{}:80", no + 1),
        zone: zone.to_owned(),
        slots: SLOTS,
        ready: true,
        slowness: 0,
        weights: Vec::new(),
        residents: Vec::new(),
        limit: None,
    }
}

impl World {
    fn new(played: Played) -> World {
        let targets: Vec<_> = (0..played.fleet.targets)
            .map(|no| target(no, ZONES[no % ZONES.len()]))
            .collect();
        let mut world = World {
            played,
            rng: StdRng::seed_from_u64(played.seed),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            order: 0,
            route: route(played.fleet.goal),
            queues: vec![Vec::new(); targets.len()],
            working: vec![0; targets.len()],
            targets,
            instances: Vec::new(),
            requests: Vec::new(),
            runs: Vec::new(),
            seen: Seen::default(),
        };
        world.start(played.limit);
        world.at(Time::ZERO, Event::Arrival);
        world.at(Time::ZERO, Event::Exchange);
        if let Some((at, _)) = played.restarts {
            world.at(Time::ZERO + at, Event::Restart);
        }
        world
    }

    /// Starts all instances anew.
    fn start(&mut self, limit: Option<HedgeLimit>) {
        let zones = ZONES.map(str::to_owned);
        let limits = Limits {
            ratio: 0.2,
            extra: 100.0,
            window: Duration::from_secs(10),
        };
        let instances = (0..self.played.fleet.instances).map(|no| {
            let mut view = View::new(ZONES[no % ZONES.len()], Seed(no as u64 + self.played.seed));
            view.set_targets(self.now, &zones, self.targets.clone());
            let mut hedging = Hedging::new(limit, self.now);
            hedging.set_tight(self.played.tight);
            let mut budget = Budget::new(limits, self.now, Seed(no as u64));
            budget.told(self.now, self.played.fleet.instances as u32);
            Instance {
                view,
                hedging,
                budget,
            }
        });
        self.instances = instances.collect();
    }

    fn at(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn step(&mut self, event: Event) {
        let asked = self.now.since(Time::ZERO) < PLAYED;
        match event {
            Event::Arrival if asked => self.arrival(),
            Event::Exchange if asked => self.exchange(),
            Event::Arrival | Event::Exchange => {}
            Event::Restart => self.restart(),
            Event::HedgeDue(no) => self.hedge(no),
            Event::Answer(run) => self.answer(run),
            Event::Deadline(no) => self.give_up(no),
        }
    }

    fn arrival(&mut self) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.played.rate;
        self.at(self.now + Duration::from_secs_f64(gap), Event::Arrival);
        let instance = self.rng.random_range(0..self.instances.len());
        self.seen
            .requests
            .entry(instance)
            .or_default()
            .push(self.now);
        let known = &mut self.instances[instance];
        known.hedging.request(self.now, SERVICE);
        known.budget.request(self.now, SERVICE);
        let choice = known
            .view
            .choose(self.now, SERVICE, "", &BTreeSet::new(), None);
        let Choice::Send(id) = choice else {
            panic!("no target is chosen: {choice:?}");
        };
        let no = self.requests.len();
        let plan = known.hedging.plan(&self.route, 0, Duration::ZERO);
        self.requests.push(Request {
            at: self.now,
            instance,
            plan,
            runs: Vec::new(),
            over: false,
        });
        self.send(no, &id);
        self.at(self.now + TIME_LIMIT, Event::Deadline(no));
        if let Some(plan) = plan {
            self.at(self.now + plan.delay, Event::HedgeDue(no));
        }
    }

    fn send(&mut self, no: usize, id: &str) {
        let target = self.targets.iter().position(|t| t.id == id).unwrap();
        let request = &mut self.requests[no];
        request.runs.push(self.runs.len());
        self.instances[request.instance].view.begin(id, "", 0);
        self.seen.sends.push((self.now, id.to_owned()));
        self.queues[target].push(self.runs.len());
        self.runs.push(Run {
            request: no,
            target,
            sent: self.now,
            begun: None,
            over: false,
        });
        self.work(target);
    }

    /// Begins what a target has room for.
    fn work(&mut self, target: usize) {
        while self.working[target] < SLOTS && !self.queues[target].is_empty() {
            let run = self.queues[target].remove(0);
            self.working[target] += 1;
            self.runs[run].begun = Some(self.now);
            let (slow, times) = self.played.slow;
            let times = if target < slow { times } else { 1 };
            let (least, most) = self.played.fleet.answer_ms;
            let takes = Duration::from_millis(self.rng.random_range(least..most)) * times;
            let mut at = self.now + takes;
            let within = at.as_millis() % 10_000;
            if target < self.played.pausing && within < 2_000 {
                at = at + Duration::from_millis(2_000 - within);
            }
            self.at(at, Event::Answer(run));
        }
    }

    fn hedge(&mut self, no: usize) {
        let request = &self.requests[no];
        let Some(plan) = request.plan.filter(|_| !request.over) else {
            return;
        };
        let first = &self.targets[self.runs[request.runs[0]].target].id;
        let known = &mut self.instances[request.instance];
        let due = Due {
            service: SERVICE,
            typical: plan.typical,
            waited: self.now.since(request.at),
            left: (request.at + TIME_LIMIT).since(self.now),
            may_repeat: true,
            suspect: false,
            pressed: known.hedging.is_pressed(self.now),
        };
        let second = Second {
            service: SERVICE,
            adapter: "",
            first,
            tried: &BTreeSet::new(),
            software: None,
        };
        let (view, budget, now) = (&known.view, &mut known.budget, self.now);
        let decided = known.hedging.decide(
            now,
            &due,
            |wanted| view.second(now, &second, wanted),
            || budget.try_early(now, SERVICE).allowed,
        );
        match decided {
            Ok(id) => {
                let of_instance = self.seen.hedges.entry(request.instance).or_default();
                of_instance.push(now);
                self.send(no, &id);
            }
            Err(why) => self.note_withheld(why),
        }
    }

    fn note_withheld(&mut self, why: Withheld) {
        *self.seen.withheld.entry(why.as_str()).or_default() += 1;
    }

    fn answer(&mut self, run: usize) {
        if self.runs[run].over {
            return;
        }
        let no = self.runs[run].request;
        let took = self.now.since(self.requests[no].at);
        self.note_time(no, took);
        self.end(no, Some(run));
    }

    fn give_up(&mut self, no: usize) {
        if !self.requests[no].over {
            self.note_time(no, TIME_LIMIT);
            self.end(no, None);
        }
    }

    fn note_time(&mut self, no: usize, took: Duration) {
        if self.requests[no].at.since(Time::ZERO) >= WARM {
            self.seen.times.push(took);
        }
    }

    /// Ends a request and all its runs, of which `taken` has answered.
    fn end(&mut self, no: usize, taken: Option<usize>) {
        self.requests[no].over = true;
        let instance = self.requests[no].instance;
        for run in self.requests[no].runs.clone() {
            let Run {
                target,
                sent,
                begun,
                ..
            } = self.runs[run];
            self.runs[run].over = true;
            let known = &mut self.instances[instance];
            known.view.end(&self.targets[target].id, "");
            let ran = self.now.since(sent);
            match taken {
                Some(taken) if taken == run => {
                    let id = &self.targets[target].id;
                    known.view.outcome(self.now, id, true);
                }
                Some(_) if self.requests[no].runs[0] == run => {
                    known.view.outrun(self.now, &self.targets[target].id);
                }
                Some(_) | None => {}
            }
            if taken == Some(run) || self.requests[no].runs[0] == run {
                known.hedging.answered(self.now, &self.route, 0, ran);
            }
            match begun {
                Some(at) => {
                    self.working[target] -= 1;
                    if taken != Some(run) {
                        self.seen.vain += self.now.since(at);
                    }
                }
                None => self.queues[target].retain(|other| *other != run),
            }
            self.work(target);
        }
    }

    /// Tells each instance what the others run.
    fn exchange(&mut self) {
        self.at(self.now + EXCHANGE, Event::Exchange);
        let zones = ZONES.map(str::to_owned);
        let running: Vec<BTreeMap<String, u32>> = self
            .instances
            .iter()
            .map(|known| {
                let own = known.view.running(&zones);
                own.into_iter().map(|r| (r.target, r.count)).collect()
            })
            .collect();
        for (no, known) in self.instances.iter_mut().enumerate() {
            let mut others: BTreeMap<String, u32> = BTreeMap::new();
            let rest = running.iter().enumerate().filter(|(other, _)| *other != no);
            for (id, count) in rest.flat_map(|(_, of)| of) {
                *others.entry(id.clone()).or_default() += count;
            }
            known.view.set_other_running(&zones, others);
        }
    }

    /// Ends all instances with what they run, and starts them again.
    fn restart(&mut self) {
        let limit = self.played.restarts.and_then(|(_, limit)| limit);
        for no in 0..self.requests.len() {
            if !self.requests[no].over {
                self.end(no, None);
            }
        }
        self.start(limit);
    }
}
