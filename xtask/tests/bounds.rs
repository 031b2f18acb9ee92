//! Sums of the delays on each way on which a promise about a span of time is kept, beside the
//! bounds of deployments. docs/CAPACITY.md shows the table.

#[path = "timeouts/sources.rs"]
mod sources;

use std::{fmt::Write as _, fs};

use self::sources::{Rows, durations, root, sources};

/// Assumed times, in milliseconds: a call between instances, the longest answer to an exchange,
/// a part of an edition, reading an edition of 2,000 routes on a small instance, a sync of a
/// disk, a load of an adapter.
const CALL: u64 = 60;
const ANSWER: u64 = 150;
const PART: u64 = 20;
const READ: u64 = 150;
const SYNC: u64 = 5;
const LOAD: u64 = 250;

/// Parts of an edition of 2,000 routes.
const PARTS: u64 = 9;

/// Part of a bound that is used while at most one thing is wrong.
const USED_PART: f64 = 0.8;

/// Bounds and sizes of a deployment, in milliseconds.
struct Size {
    name: &'static str,
    voters: u64,
    apply: u64,
    outer: u64,
    grace: u64,
    recover: u64,
    lease: u64,
}

const fn size(name: &'static str, voters: u64, apply: u64, outer: u64, recover: u64) -> Size {
    Size {
        name,
        voters,
        apply,
        outer,
        grace: 8_000,
        recover,
        lease: 3_000,
    }
}

const SIZES: [Size; 4] = [
    size("7 + 4", 4, 2_000, 5_000, 12_000),
    size("57 + 8", 8, 2_500, 6_000, 15_000),
    size("88 + 8", 8, 2_500, 6_000, 15_000),
    size("194 + 6", 6, 3_000, 8_000, 15_000),
];

/// Which bound a sum is held to.
#[derive(Clone, Copy)]
enum Limit {
    /// At most this part of the bound, in milliseconds.
    Most(u64, f64),
    /// At least this many milliseconds.
    Least(u64),
}

struct Way {
    promise: &'static str,
    name: &'static str,
    sum: u64,
    limit: Limit,
}

impl Way {
    fn holds(&self) -> bool {
        match self.limit {
            Limit::Most(bound, part) => self.sum as f64 <= bound as f64 * part,
            Limit::Least(bound) => self.sum >= bound,
        }
    }
}

/// The constants in force.
struct Constants(Rows);

impl Constants {
    fn read() -> Self {
        Constants(durations(&sources(&[
            "frontd",
            "gateway",
            "web",
            "replog",
            "../platform",
        ])))
    }

    /// Returns the milliseconds of a constant or field.
    fn ms(&self, file: &str, name: &str) -> u64 {
        let value = self.0.get(&(file.to_owned(), name.to_owned()));
        let digits = value.and_then(|value| value.strip_suffix(" ms"));
        let digits = digits.unwrap_or_else(|| panic!("no such duration: {file} {name}"));
        digits.replace(',', "").parse().expect("a number")
    }

    fn timing(&self, name: &str) -> u64 {
        self.ms("gateway/src/timing.rs", name)
    }

    fn control(&self, name: &str) -> u64 {
        self.ms("frontd/src/control.rs", name)
    }

    /// Returns what a call is waited for longer where the process was busy.
    fn late(&self) -> u64 {
        self.ms("web/src/timeout.rs", "MAX_EXTENSION")
    }

    /// Returns what an exchange costs that gets no answer.
    fn lost_exchange(&self) -> u64 {
        self.timing("SYNC_TIMEOUT") + self.timing("SYNC_INTERVAL_UNRESPONSIVE")
    }

    /// Returns what a part costs that doesn't arrive.
    fn lost_part(&self) -> u64 {
        let file = "frontd/src/entry/editions.rs";
        self.ms(file, "PART_TIMEOUT") + self.ms(file, "RETRY_PAUSE")
    }

    /// Returns the time after which a leader gives a zone to another owner.
    fn takeover(&self, size: &Size) -> u64 {
        let lease = self.ms("gateway/src/zone_lease.rs", "LEASE_TIME");
        lease + lease / 20 + size.lease + self.ms("../platform/src/node.rs", "TAKEOVER_SLACK")
    }
}

/// A configuration that was acknowledged is in force at an instance in touch.
fn apply(all: &Constants, size: &Size) -> Vec<Way> {
    let told = all.control("HEARTBEAT_INTERVAL") + CALL;
    let edition = PARTS * PART + READ;
    let regular = told + all.timing("SYNC_INTERVAL") + ANSWER + edition;
    let idle = all.ms("frontd/src/entry/sync.rs", "SYNC_INTERVAL_IDLE");
    let way = |name, sum, part| Way {
        promise: "`apply_ms`",
        name,
        sum,
        limit: Limit::Most(size.apply, part),
    };
    vec![
        way("all in touch, 2,000 routes", regular, USED_PART),
        way(
            "a message of the log lost",
            regular + all.control("HEARTBEAT_INTERVAL"),
            USED_PART,
        ),
        way("an exchange lost", regular + all.lost_exchange(), USED_PART),
        way(
            "the zone's owner silent: another control instance",
            told + idle + ANSWER + edition,
            USED_PART,
        ),
        way("a part lost", regular + all.lost_part(), USED_PART),
        way(
            "an older edition is being read",
            regular + edition,
            USED_PART,
        ),
        way(
            "an older edition is being read, a part lost",
            regular + edition + all.lost_part(),
            1.0,
        ),
        way(
            "an exchange lost in a busy process",
            regular + all.lost_exchange() + all.late(),
            1.0,
        ),
        way(
            "a part lost in a busy process",
            regular + all.lost_part() + all.late(),
            1.0,
        ),
        Way {
            // A core that isn't stable stretches the bound.
            limit: Limit::Most(size.apply + size.outer, USED_PART),
            ..way(
                "two control instances fall silent, each asked for a part",
                regular + 2 * all.lost_part(),
                1.0,
            )
        },
        Way {
            limit: Limit::Most(size.apply + size.outer, USED_PART),
            ..way(
                "an election after the acknowledgement",
                regular + 4 * all.control("ELECTION_TIMEOUT") + 2 * (CALL + SYNC),
                1.0,
            )
        },
    ]
}

/// A planned stop: requests that were sent up to 3 s after it, and whose targets have ended
/// before the last sixth of the grace period, get their whole answers.
fn grace(all: &Constants, size: &Size) -> Vec<Way> {
    let file = "frontd/src/entry.rs";
    let accept = all.ms(file, "ACCEPT_AFTER_STOP");
    let cut = size.grace - all.ms(file, "KILL_MARGIN");
    let control = all.control("HANDOVER_TIMEOUT") + all.control("linger") + all.control("drain");
    let way = |name, sum, limit| Way {
        promise: "`grace_s`",
        name,
        sum,
        limit,
    };
    vec![
        way(
            "entry: connections accepted",
            accept,
            Limit::Most(3_000, 1.0),
        ),
        way(
            "entry: answers are cut, not before",
            cut,
            Limit::Least(size.grace * 5 / 6),
        ),
        way(
            "entry: time of the last request accepted",
            cut - accept,
            Limit::Least(size.grace * 5 / 6 - 3_000),
        ),
        way(
            "control: hand-over, linger, drain",
            control,
            Limit::Most(size.grace, USED_PART),
        ),
    ]
}

/// Time from the return of all machines to an election.
fn election(all: &Constants, size: &Size) -> (u64, u64) {
    let file = "replog/src/replica/grace.rs";
    let asked = all.ms(file, "QUERY_INTERVAL") + CALL;
    let turns = all.ms(file, "ELECTION_STAGGER") * size.voters;
    let vote = 2 * (CALL + SYNC);
    // The grace period, the timer with its jitter, and both again for a split vote.
    let alone = 5 * all.control("ELECTION_TIMEOUT") + vote;
    (asked + turns + vote, alone)
}

/// All processes were killed, or power was lost.
fn recover(all: &Constants, size: &Size) -> Vec<Way> {
    let (all_back, one_gone) = election(all, size);
    let shell = "frontd/src/control/shell.rs";
    let renewed = all.ms(shell, "RENEW_INTERVAL_IDLE") + CALL;
    let starting = all.ms("frontd/src/entry/sync.rs", "SYNC_INTERVAL_STARTING");
    let known = CALL + starting + ANSWER;
    let edition = PARTS * PART + READ;
    let serve = renewed + known + edition + LOAD;
    let lost = all.ms(shell, "RENEW_TIMEOUT")
        + all.timing("OWNER_LIST_TIMEOUT")
        + all.late()
        + all.timing("LIST_INTERVAL")
        + all.lost_exchange()
        + all.lost_part();
    let gather = all.ms("gateway/src/zone_lease.rs", "GATHER_TIME");
    let way = |name, sum, part| Way {
        promise: "`recover_s`",
        name,
        sum,
        limit: Limit::Most(size.recover, part),
    };
    vec![
        way("all are back", all_back + serve, USED_PART),
        way(
            "all are back, a call of each kind lost",
            all_back + serve + lost,
            1.0,
        ),
        way("a voter isn't back", one_gone + serve, USED_PART),
        way(
            "a voter isn't back, a call of each kind lost",
            one_gone + serve + lost,
            1.0,
        ),
        way(
            "a zone without an owner",
            one_gone + gather + serve,
            USED_PART,
        ),
    ]
}

/// A zone whose owner is gone for good.
fn takeover(all: &Constants, size: &Size) -> Vec<Way> {
    let voter_gone = &recover(all, size)[2];
    let way = |name, sum, limit| Way {
        promise: "leases",
        name,
        sum,
        limit,
    };
    vec![way(
        "all were killed, and a zone's owner isn't back: its first load",
        voter_gone.sum + all.takeover(size),
        Limit::Most(size.recover, 1.0),
    )]
}

/// Two owners of a zone don't give orders in turns.
fn turns(all: &Constants, size: &Size) -> Vec<Way> {
    let lease = all.ms("gateway/src/zone_lease.rs", "LEASE_TIME");
    let order = all.ms("../platform/src/engines.rs", "ENGINE_TIMEOUT") + all.late();
    // The owner's clock may run a twentieth slower.
    let last = lease + lease / 20 + order;
    vec![Way {
        promise: "leases",
        name: "between the orders of two owners, at least",
        sum: all.takeover(size) - last,
        limit: Limit::Least(size.lease),
    }]
}

fn ways(all: &Constants, size: &Size) -> Vec<Way> {
    [apply, grace, recover, turns, takeover]
        .iter()
        .flat_map(|of| of(all, size))
        .collect()
}

fn check(of: fn(&Constants, &Size) -> Vec<Way>) {
    let all = Constants::read();
    let mut over = Vec::new();
    for size in &SIZES {
        for way in of(&all, size).iter().filter(|way| !way.holds()) {
            let bound = match way.limit {
                Limit::Most(bound, part) => format!("at most {part} of {bound}"),
                Limit::Least(bound) => format!("at least {bound}"),
            };
            let (promise, name, sum) = (way.promise, way.name, way.sum);
            over.push(format!("{}: {promise}, {name}: {sum}, {bound}", size.name));
        }
    }
    assert!(over.is_empty(), "{over:#?}");
}

/// Guards against an acknowledged configuration that isn't in force in time at an instance in
/// touch.
#[test]
fn a_configuration_is_in_force_within_the_bound() {
    check(apply);
}

/// Guards against a planned stop that cuts answers too early or is killed before its end.
#[test]
fn a_planned_stop_stays_within_the_grace_period() {
    check(grace);
}

/// Guards against a deployment that serves too late after all its processes were killed.
#[test]
fn all_serve_within_the_bound_after_a_kill_of_all() {
    check(recover);
}

/// Guards against engines that get orders of two zone owners in turns.
#[test]
fn two_owners_of_a_zone_are_far_enough_apart() {
    check(turns);
}

/// Guards against a zone without loads for longer than a recovery may take.
#[test]
fn a_zone_whose_owner_is_gone_gets_loads_within_the_bound() {
    check(takeover);
}

/// Guards against constants that are changed without the page.
#[test]
fn the_capacity_page_shows_the_sums() {
    let all = Constants::read();
    let mut table = String::from("| promise | way |");
    for size in &SIZES {
        write!(table, " {} |", size.name).expect("a string takes all");
    }
    table.push_str("\n|---|---|---|---|---|---|\n");
    let columns = SIZES.each_ref().map(|size| ways(&all, size));
    for (row, way) in columns[0].iter().enumerate() {
        write!(table, "| {} | {} |", way.promise, way.name).expect("a string takes all");
        for column in &columns {
            write!(table, " {} |", column[row].sum).expect("a string takes all");
        }
        table.push('\n');
    }
    let page = fs::read_to_string(root().join("docs/CAPACITY.md")).expect("the page is there");
    assert!(page.contains(&table), "the table is now:\n{table}");
}
