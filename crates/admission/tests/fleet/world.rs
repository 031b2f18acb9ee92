//! Entry instances, control instances, engines and callers of one service in virtual time.
//!
//! Each request comes to any entry instance, as a balancer spreads them. Engines of a zone
//! are one pool that takes the most urgent request first. Entry instances exchange with all
//! control instances that they reach, four times a second.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use admission::{Ask, Gate, Tally};
use base::{AccountName, InstanceName, Seed, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::admission::Room;

pub(crate) const ACCOUNTS: usize = 16;
pub(crate) const RANKS: usize = 3;

const SERVICE: &str = "llm";
const ENTRIES: usize = 57;
const ZONES: usize = 3;
/// Places of the engines of one zone.
const SLOTS: u32 = 80;
/// Requests that wait at the engines of a zone at most, for each place.
const QUEUE: u32 = 3;
/// Time after which a request comes back that engines have refused, in milliseconds.
const FULL_AGAIN_MS: u64 = 700;
const STEP: Duration = Duration::from_millis(10);
const EXCHANGE_MS: u64 = 250;
/// How often it is seen whether a run is over.
const SETTLED_EACH_MS: u64 = 500;
/// Time until a lost owner's zone has another.
const TAKEOVER_MS: u64 = 2_000;
/// Usual requests a second: about seven tenths of what the places serve.
const USUAL: f64 = 420.0;
const MEAN_UNITS: f64 = 700.0;
/// Time of a place for a request of mean size, in milliseconds.
const MEAN_MS: f64 = 400.0;
/// Weights of accounts: a few are large.
const WEIGHTS: [u64; ACCOUNTS] = [8, 6, 4, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1];
/// Parts of the requests by rank, and the time that callers have.
const MIX: [f64; RANKS] = [0.57, 0.3, 0.13];
const GOAL_MS: [u64; RANKS] = [500, 800, 2_000];
const DEADLINE_MS: [u64; RANKS] = [12_000, 3_000, 20_000];

/// What is unusual, from `at` to `until`, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trouble {
    pub(crate) at: u64,
    pub(crate) until: u64,
    pub(crate) kind: Kind,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Kind {
    /// All callers ask for this many times the usual.
    Wave(f64),
    /// One account asks for this many times its usual.
    Account(usize, f64),
    /// One account asks for this many times its usual at one rank.
    AccountRank(usize, usize, f64),
    /// One rank is asked for this many times as often as usual.
    Rank(usize, f64),
    /// This part of the callers comes back at once when it is refused, and three times
    /// rather than once.
    Impatient(f64),
    /// All callers come back three times rather than once, when they are told to.
    Persistent,
    /// A part of the engines is gone.
    Lost(f64),
    /// The control instance of a zone is gone.
    NoOwner(usize),
    /// A zone is cut off from the others.
    Cut(usize),
    /// A part of the entry instances begins anew, at the begin.
    Restart(f64),
    /// No control instance answers.
    NoControl,
}

/// What became of the requests of one account and rank.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fate {
    pub(crate) owed: u32,
    pub(crate) served: u32,
    pub(crate) in_time: u32,
    pub(crate) refused: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    rank: usize,
    first: u64,
    account: usize,
    units: u64,
    tries: u32,
    entry: usize,
}

pub(crate) struct World {
    on: bool,
    troubles: Vec<Trouble>,
    random: ChaCha8Rng,
    now: u64,
    gates: Vec<Gate<usize>>,
    tallies: Vec<Tally>,
    /// Requests that wait at the engines of each zone.
    waiting: Vec<BinaryHeap<Reverse<Request>>>,
    /// Requests that run, by their end.
    running: Vec<BinaryHeap<Reverse<(u64, Request)>>>,
    back: BinaryHeap<Reverse<(u64, Request)>>,
    names: Vec<AccountName>,
    /// Requests that begin in this span are counted, in milliseconds.
    counted: (u64, u64),
    pub(crate) fates: [[Fate; RANKS]; ACCOUNTS],
    /// Most requests under way at all targets, as a part of their places.
    pub(crate) fullest: f64,
}

impl World {
    pub(crate) fn new(on: bool, troubles: &[Trouble], seed: u64, counted: (u64, u64)) -> World {
        let names = (0..ACCOUNTS).map(|n| AccountName::try_from(format!("a{n}").as_str()));
        World {
            on,
            troubles: troubles.to_vec(),
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            gates: (0..ENTRIES).map(|n| gate(n, seed)).collect(),
            tallies: vec![Tally::new(Time::ZERO); ZONES],
            waiting: vec![BinaryHeap::new(); ZONES],
            running: vec![BinaryHeap::new(); ZONES],
            back: BinaryHeap::new(),
            names: names.map(|name| name.expect("it is a name")).collect(),
            counted,
            fates: Default::default(),
            fullest: 0.0,
        }
    }

    /// Runs until all requests that are counted have their answer or have given up, or else
    /// until `until_ms`.
    pub(crate) fn run(&mut self, until_ms: u64) {
        while self.now < until_ms
            && (!self.now.is_multiple_of(SETTLED_EACH_MS) || !self.is_settled())
        {
            self.now += u64::try_from(STEP.as_millis()).expect("a step is short");
            self.disturb();
            self.arrive();
            self.serve();
            if self.on {
                self.exchange();
            }
        }
    }

    fn is_settled(&self) -> bool {
        let counted = |request: &Request| (self.counted.0..self.counted.1).contains(&request.first);
        let mut back = self.back.iter().map(|Reverse((_, request))| request);
        let mut waiting = self
            .waiting
            .iter()
            .flatten()
            .map(|Reverse(request)| request);
        self.now >= self.counted.1 && !back.any(counted) && !waiting.any(counted)
    }

    fn time(&self) -> Time {
        Time::from_millis(self.now)
    }

    fn active(&self) -> impl Iterator<Item = Kind> + '_ {
        let now = self.now;
        let active = self.troubles.iter();
        let active = active.filter(move |trouble| (trouble.at..trouble.until).contains(&now));
        active.map(|trouble| trouble.kind)
    }

    fn begins(&self, kind: Kind) -> bool {
        let begin = |trouble: &Trouble| trouble.kind == kind && trouble.at == self.now;
        self.troubles.iter().any(begin)
    }

    /// Restarts what begins anew now.
    fn disturb(&mut self) {
        let beginning = self.active().filter(|kind| self.begins(*kind));
        let beginning: Vec<Kind> = beginning.collect();
        for kind in beginning {
            match kind {
                Kind::Restart(part) => {
                    let count = (ENTRIES as f64 * part) as usize;
                    for n in 0..count {
                        self.gates[n] = gate(n, self.now);
                    }
                }
                Kind::NoOwner(zone) => self.tallies[zone] = Tally::new(self.time()),
                _ => {}
            }
        }
    }

    fn slots(&self) -> u32 {
        let lost = self.active().map(|kind| match kind {
            Kind::Lost(part) => part,
            _ => 0.0,
        });
        let lost: f64 = lost.sum();
        (f64::from(SLOTS) * (1.0 - lost)) as u32
    }

    fn cut(&self) -> Option<usize> {
        self.active().find_map(|kind| match kind {
            Kind::Cut(zone) => Some(zone),
            _ => None,
        })
    }

    fn reach(&self, zone: usize, other: usize) -> bool {
        zone == other || self.cut().is_none_or(|cut| cut != zone && cut != other)
    }

    /// Returns the control instance that owns a zone.
    fn owner(&self, zone: usize) -> Option<usize> {
        let lost = self.troubles.iter().find(|trouble| {
            trouble.kind == Kind::NoOwner(zone) && (trouble.at..trouble.until).contains(&self.now)
        });
        match lost {
            None => Some(zone),
            Some(lost) if self.now < lost.at + TAKEOVER_MS => None,
            Some(_) => Some((zone + 1) % ZONES),
        }
    }

    fn is_up(&self, control: usize) -> bool {
        !self
            .active()
            .any(|kind| kind == Kind::NoOwner(control) || kind == Kind::NoControl)
    }

    fn arrive(&mut self) {
        let weights: u64 = WEIGHTS.iter().sum();
        for (account, weight) in WEIGHTS.iter().enumerate() {
            for (rank, part) in MIX.iter().enumerate() {
                let times: f64 = self
                    .active()
                    .map(|kind| times(kind, account, rank))
                    .product();
                let share = *weight as f64 / weights as f64;
                let mean = USUAL * share * part * times * STEP.as_secs_f64();
                let whole = mean as u32;
                let more = self.random.random::<f64>() < mean - f64::from(whole);
                for _ in 0..whole + u32::from(more) {
                    let size = -self.random.random::<f64>().max(1e-3).ln();
                    let request = Request {
                        rank,
                        first: self.now,
                        account,
                        units: (MEAN_UNITS * size).max(20.0) as u64,
                        tries: 0,
                        entry: 0,
                    };
                    self.count(&request, |fate| fate.owed += 1);
                    self.ask(request);
                }
            }
        }
        while let Some(Reverse((at, request))) = self.back.peek().copied()
            && at <= self.now
        {
            self.back.pop();
            self.ask(request);
        }
    }

    fn count(&mut self, request: &Request, count: impl Fn(&mut Fate)) {
        if (self.counted.0..self.counted.1).contains(&request.first) {
            count(&mut self.fates[request.account][request.rank]);
        }
    }

    /// Brings a request to an entry instance, which lets it in or not.
    fn ask(&mut self, mut request: Request) {
        request.entry = self.random.random_range(0..ENTRIES);
        let deadline = request.first + DEADLINE_MS[request.rank];
        if self.now >= deadline {
            return;
        }
        if !self.on {
            return self.send(request);
        }
        let ask = Ask {
            service: SERVICE,
            account: Some(&self.names[request.account]),
            weight: WEIGHTS[request.account] * 1_000,
            rank: request.rank as u8,
            units: Some(request.units),
            left: Duration::from_millis(deadline - self.now),
        };
        let id = request.first << 16 | request.units;
        let time = Time::from_millis(self.now);
        match self.gates[request.entry].offer(time, &ask, || id) {
            Ok(_) => self.send(request),
            Err(refused) => self.refuse(request, refused.again.as_millis() as u64),
        }
    }

    fn refuse(&mut self, mut request: Request, again_ms: u64) {
        self.count(&request, |fate| fate.refused += 1);
        let part = self.active().find_map(|kind| match kind {
            Kind::Impatient(part) => Some(part),
            _ => None,
        });
        // The same callers each time.
        let drawn = (request.first + request.units * 7) % 100;
        let at_once = (drawn as f64) < part.unwrap_or(0.0) * 100.0;
        let persistent = self.active().any(|kind| kind == Kind::Persistent);
        let most = if at_once || persistent { 3 } else { 1 };
        let wait = if at_once { 10 } else { again_ms };
        request.tries += 1;
        if request.tries <= most {
            self.back.push(Reverse((self.now + wait, request)));
        }
    }

    /// Sends a request to the emptiest zone that its entry instance reaches.
    fn send(&mut self, request: Request) {
        let home = request.entry % ZONES;
        let near = (0..ZONES).filter(|zone| self.reach(home, *zone));
        let zone = near.min_by_key(|zone| self.waiting[*zone].len() + self.running[*zone].len());
        let zone = zone.expect("it reaches its own zone");
        if self.waiting[zone].len() < (QUEUE * self.slots()) as usize {
            return self.waiting[zone].push(Reverse(request));
        }
        if self.on {
            let time = self.time();
            self.gates[request.entry].ended(time, SERVICE, request.units);
        }
        self.refuse(request, FULL_AGAIN_MS);
    }

    fn serve(&mut self) {
        let slots = self.slots();
        let mut taken = 0;
        for zone in 0..ZONES {
            while let Some(Reverse((at, request))) = self.running[zone].peek().copied()
                && at <= self.now
            {
                self.running[zone].pop();
                let time = self.time();
                self.gates[request.entry].ended(time, SERVICE, request.units);
            }
            while self.running[zone].len() < slots as usize
                && let Some(Reverse(request)) = self.waiting[zone].pop()
            {
                self.start(zone, request);
            }
            taken += self.running[zone].len() + self.waiting[zone].len();
        }
        let places = f64::from(slots * ZONES as u32);
        self.fullest = self.fullest.max(taken as f64 / places);
    }

    fn start(&mut self, zone: usize, request: Request) {
        let waited = self.now - request.first;
        if waited > DEADLINE_MS[request.rank] {
            let time = self.time();
            self.gates[request.entry].ended(time, SERVICE, request.units);
            return;
        }
        self.count(&request, |fate| fate.served += 1);
        if waited <= GOAL_MS[request.rank] {
            self.count(&request, |fate| fate.in_time += 1);
        }
        let takes = MEAN_MS * request.units as f64 / MEAN_UNITS;
        self.running[zone].push(Reverse((self.now + takes as u64, request)));
    }

    fn room(&self, zone: usize) -> Room {
        let (running, waiting) = (self.running[zone].len(), self.waiting[zone].len());
        Room {
            service: SERVICE.to_owned(),
            zone: format!("z{zone}"),
            slots: self.slots(),
            running: (running + waiting) as u32,
            queued: waiting as u32,
        }
    }

    fn exchange(&mut self) {
        let time = self.time();
        for n in 0..ENTRIES {
            let phase = n as u64 * 10 % EXCHANGE_MS;
            if self.now % EXCHANGE_MS != phase {
                continue;
            }
            for control in 0..ZONES {
                let report = self.gates[n].report(time, control);
                if !self.is_up(control) || !self.reach(n % ZONES, control) {
                    continue;
                }
                let rooms = (0..ZONES).filter(|zone| self.owner(*zone) == Some(control));
                let rooms = rooms.map(|zone| self.room(zone)).collect();
                self.tallies[control].add(time, &report);
                let told = self.tallies[control].told(time, rooms);
                self.gates[n].told(time, control, told);
            }
        }
    }
}

fn gate(n: usize, seed: u64) -> Gate<usize> {
    let name: InstanceName = format!("e{n}").parse().expect("it is a name");
    Gate::new(name, Seed(seed.wrapping_mul(1_000) + n as u64))
}

/// Returns how many times the usual an account asks for at a rank.
fn times(kind: Kind, account: usize, rank: usize) -> f64 {
    match kind {
        Kind::Wave(times) => times,
        Kind::Account(hot, times) if hot == account => times,
        Kind::AccountRank(hot, at, times) if hot == account && at == rank => times,
        Kind::Rank(hot, times) if hot == rank => times,
        _ => 1.0,
    }
}
