//! Divides room among accounts, and an account's room among its ranks.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

/// Part of an account's room that is divided evenly over all that it offers, before its
/// ranks get theirs in order: no rank gets nothing.
const FLOOR_PART: f64 = 0.1;

/// Smallest part by which ranks are put in order again.
const RANK_STEP: f64 = 1e-6;

/// What one account offers at one rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand<A> {
    /// The account.
    pub account: A,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// Weight of the account.
    pub weight: f64,
    /// Units of work a second.
    pub offered: f64,
}

/// Work of one rank over all accounts.
#[derive(Clone, Copy, Debug, Default)]
struct RankSum {
    offered: f64,
    given: f64,
}

/// Returns the part of each demand that is let in if `room` units a second may be, in the
/// order of `demands`.
///
/// Accounts share the room by max-min fairness weighted by their weights; an account's
/// ranks share its room in their order above a floor. Where a less urgent rank is then
/// served more than a more urgent one over all accounts, room moves to the more urgent one.
#[must_use]
pub fn parts<A: Ord + Copy>(room: f64, demands: &[Demand<A>]) -> Vec<f64> {
    let mut accounts: BTreeMap<A, (f64, f64)> = BTreeMap::new();
    for demand in demands {
        let (weight, offered) = accounts.entry(demand.account).or_default();
        *weight = weight.max(demand.weight);
        *offered += demand.offered;
    }
    let wanted: Vec<_> = accounts.values().copied().collect();
    let given = water_fill(room.max(0.0), &wanted);
    let given: BTreeMap<A, f64> = accounts.keys().copied().zip(given).collect();
    let mut parts = vec![1.0; demands.len()];
    for (account, room) in &given {
        let all: f64 = accounts[account].1;
        if *room < all {
            fill_ranks(*account, *room, all, demands, &mut parts);
        }
    }
    order_ranks(demands, &mut parts);
    parts
}

/// Divides `room` among those who want some, given as weight and want.
fn water_fill(room: f64, wanted: &[(f64, f64)]) -> Vec<f64> {
    let mut given = vec![0.0; wanted.len()];
    let weight = |at: &usize| wanted[*at].0.max(f64::MIN_POSITIVE);
    let mut open: Vec<usize> = (0..wanted.len()).collect();
    // Those who want least for their weight are satisfied first.
    open.sort_by(|a, b| {
        let ratio = |at: &usize| wanted[*at].1 / weight(at);
        ratio(a).total_cmp(&ratio(b))
    });
    let mut weights: f64 = open.iter().map(weight).sum();
    let mut left = room;
    for at in open {
        let fair = left * weight(&at) / weights.max(f64::MIN_POSITIVE);
        given[at] = wanted[at].1.min(fair);
        left -= given[at];
        weights -= weight(&at);
    }
    given
}

/// Divides the `room` of an account, which offers `all`, among its ranks.
fn fill_ranks<A: Ord + Copy>(
    account: A,
    room: f64,
    all: f64,
    demands: &[Demand<A>],
    parts: &mut [f64],
) {
    let floor = FLOOR_PART * room / all;
    let mut left = room * (1.0 - FLOOR_PART);
    let own = |at: &usize| demands[*at].account == account;
    let mut order: Vec<usize> = (0..demands.len()).filter(own).collect();
    order.sort_by_key(|at| demands[*at].rank);
    for at in order {
        let offered = demands[at].offered.max(f64::MIN_POSITIVE);
        let more = left.min(offered * (1.0 - floor));
        left -= more;
        parts[at] = floor + more / offered;
    }
}

/// Moves room from ranks to more urgent ones that are served less.
fn order_ranks<A>(demands: &[Demand<A>], parts: &mut [f64]) {
    let ranks: BTreeSet<u8> = demands.iter().map(|demand| demand.rank).collect();
    // Each move puts two ranks in order and may disturb a third one.
    for _ in 0..ranks.len().pow(2) {
        let sums = rank_sums(demands, parts);
        let Some((urgent, other, units)) = first_inversion(&sums) else {
            return;
        };
        let (gains, loses) = (sums[&urgent], sums[&other]);
        let up = units / (gains.offered - gains.given);
        let down = units / loses.given;
        for (demand, part) in demands.iter().zip(parts.iter_mut()) {
            if demand.rank == urgent {
                *part += (1.0 - *part) * up;
            } else if demand.rank == other {
                *part *= 1.0 - down;
            }
        }
    }
}

fn rank_sums<A>(demands: &[Demand<A>], parts: &[f64]) -> BTreeMap<u8, RankSum> {
    let mut sums: BTreeMap<u8, RankSum> = BTreeMap::new();
    for (demand, part) in demands.iter().zip(parts) {
        let sum = sums.entry(demand.rank).or_default();
        sum.offered += demand.offered;
        sum.given += demand.offered * part;
    }
    sums
}

/// Returns the most urgent rank that is served less than a less urgent one, the one of
/// these that is served most, and the units that have to move.
fn first_inversion(sums: &BTreeMap<u8, RankSum>) -> Option<(u8, u8, f64)> {
    let served = |sum: &RankSum| sum.given / sum.offered.max(f64::MIN_POSITIVE);
    sums.iter().find_map(|(rank, sum)| {
        let later = sums.range((Bound::Excluded(rank), Bound::Unbounded));
        let later = later.filter(|(_, s)| s.given > 0.0);
        let (other, most) = later.max_by(|(_, a), (_, b)| served(a).total_cmp(&served(b)))?;
        let beyond = served(most) - served(sum);
        let both = sum.offered + most.offered;
        let units = beyond * sum.offered * most.offered / both;
        (beyond > RANK_STEP && sum.offered > sum.given).then_some((*rank, *other, units))
    })
}
