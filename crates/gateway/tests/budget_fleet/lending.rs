//! Entry instances that lend each other retries, over messages that may be lost or late.

use std::time::Duration;

use base::Time;
use rand::RngExt;
use wire::retry::{RetryAnswer, RetryReport};

use super::{Kind, SERVICE, SYNC_INTERVAL, World, hedging};

/// Interval of reports while an instance wants retries.
const HURRIED: Duration = Duration::from_millis(100);

/// Which instances lend, and what their messages suffer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lending {
    /// The part of the instances that lend; the others are of the build before.
    pub(crate) able: f64,
    /// The part of the instances at which requests fail.
    pub(crate) needy: f64,
    /// The part of the messages that is lost, and the part that comes twice.
    pub(crate) lost: f64,
    pub(crate) doubled: f64,
    /// Longest time that a message takes.
    pub(crate) delay: Duration,
    /// The part of the requests that would get an extra send, and the limit of these.
    pub(crate) late: f64,
    pub(crate) limit: &'static str,
}

/// Nobody lends, and all have need.
pub(crate) const NOBODY: Lending = Lending {
    able: 0.0,
    needy: 1.0,
    lost: 0.0,
    doubled: 0.0,
    delay: Duration::from_millis(5),
    late: 0.0,
    limit: "0",
};

/// Messages on their way, each with the number and the run of its entry instance.
#[derive(Debug, Default)]
pub(super) struct Post {
    reports: Vec<(Time, usize, u32, Sent)>,
    answers: Vec<(Time, usize, u32, Time, RetryAnswer)>,
}

#[derive(Clone, Debug)]
struct Sent {
    at: Time,
    control: usize,
    report: RetryReport,
}

impl World {
    pub(crate) fn lending(mut self, lending: Lending) -> Self {
        self.lending = lending;
        for entry in &mut self.entries {
            entry.hedging = hedging(&lending, self.now);
        }
        self
    }

    /// Returns whether requests fail at an instance.
    pub(super) fn needs(&self, no: usize) -> bool {
        (no as f64) < self.lending.needy * self.entries.len() as f64
    }

    /// Lets instances report, and hands over the messages that arrive.
    pub(super) fn lend(&mut self) {
        for no in 0..self.entries.len() {
            // Those that lend are spread over zones and over those in need.
            let able = (no * 7 % 10) as f64 / 10.0 < self.lending.able;
            let entry = &mut self.entries[no];
            entry.budget.set_tight(able);
            if !able || entry.down_until > self.now {
                continue;
            }
            let since = self.now.since(entry.reported);
            if since < HURRIED {
                continue;
            }
            let wanted = entry.budget.wanted(self.now);
            if since >= SYNC_INTERVAL || !wanted.is_empty() {
                self.send(no, 0, Vec::new(), wanted);
            }
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.post.reports)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.post.reports = later;
        for (_, no, run, sent) in due {
            self.report(no, run, &sent);
        }
        let (due, later) = std::mem::take(&mut self.post.answers)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.post.answers = later;
        for (_, no, run, asked, answer) in due {
            self.answer(no, run, asked, &answer);
        }
    }

    fn reaches(&self, zone: usize, control: usize) -> bool {
        let cut = self.is_on(Kind::ZoneCut) && (zone == 0) != (control == 0);
        !cut && (zone == control || !self.is_on(Kind::ZonesApart))
    }

    fn send(&mut self, no: usize, ask: u64, lent: Vec<(String, u32)>, wanted: Vec<(String, u32)>) {
        self.entries[no].reported = self.now;
        let (zone, run) = (self.entries[no].zone, self.entries[no].run);
        let up = |control: usize| self.controls[control].down_until <= self.now;
        let mut controls = 0..self.controls.len();
        let Some(control) = controls.find(|c| up(*c) && self.reaches(zone, *c)) else {
            return;
        };
        let sent = Sent {
            at: self.now,
            control,
            report: RetryReport {
                instance: self.entries[no].name.clone(),
                ask,
                lent,
                wanted,
            },
        };
        for _ in 0..self.copies() {
            let at = self.now + self.delay();
            self.post.reports.push((at, no, run, sent.clone()));
        }
    }

    fn report(&mut self, no: usize, run: u32, sent: &Sent) {
        let control = &mut self.controls[sent.control];
        if control.down_until > self.now {
            return;
        }
        let answer = control.broker.report(self.now, &sent.report);
        if self.rng.random_bool(self.lending.lost) {
            return;
        }
        let at = self.now + self.delay();
        self.post.answers.push((at, no, run, sent.at, answer));
    }

    fn answer(&mut self, no: usize, run: u32, asked: Time, answer: &RetryAnswer) {
        let entry = &mut self.entries[no];
        if entry.run != run || entry.down_until > self.now {
            return;
        }
        for grant in &answer.granted {
            entry
                .budget
                .granted(asked, SERVICE, grant.count, grant.life);
        }
        let asked = answer.asked.iter();
        let lent = asked.map(|(service, count)| {
            let lent = entry.budget.lend(self.now, service, *count);
            (service.clone(), lent)
        });
        let lent: Vec<_> = lent.collect();
        if !lent.is_empty() {
            let wanted = entry.budget.wanted(self.now);
            self.send(no, answer.ask, lent, wanted);
        }
    }

    /// Returns how often a message arrives.
    fn copies(&mut self) -> usize {
        let lost = self.rng.random_bool(self.lending.lost);
        usize::from(!lost) + usize::from(self.rng.random_bool(self.lending.doubled))
    }

    fn delay(&mut self) -> Duration {
        self.rng.random_range(Duration::ZERO..=self.lending.delay)
    }
}
