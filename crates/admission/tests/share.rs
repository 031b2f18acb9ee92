//! How room is divided among accounts and ranks.

use admission::{Demand, parts};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn demand(account: u32, rank: u8, weight: f64, offered: f64) -> Demand<u32> {
    Demand {
        account,
        rank,
        weight,
        offered,
    }
}

/// Checks the parts that are let in, to a hundredth.
fn check((room, demands, expected): (f64, Vec<Demand<u32>>, Vec<f64>)) {
    let parts = parts(room, &demands);
    let rounded: Vec<f64> = parts
        .iter()
        .map(|part| (part * 100.0).round() / 100.0)
        .collect();
    assert_that!(rounded, eq(&expected));
}

base::cases! {
    /// Guards against room that goes to whoever asks for most, and against strict ranks.
    room_is_divided: check => {
        enough: (100.0, vec![demand(1, 0, 1.0, 60.0), demand(2, 0, 1.0, 40.0)], vec![1.0, 1.0]),
        even: (50.0, vec![demand(1, 0, 1.0, 50.0), demand(2, 0, 1.0, 50.0)], vec![0.5, 0.5]),
        by_weight: (60.0, vec![demand(1, 0, 2.0, 80.0), demand(2, 0, 1.0, 80.0)], vec![0.5, 0.25]),
        unused_goes_to_others: (100.0, vec![demand(1, 0, 1.0, 20.0), demand(2, 0, 1.0, 160.0)], vec![1.0, 0.5]),
        urgent_first_above_a_floor: (50.0, vec![demand(1, 0, 1.0, 50.0), demand(1, 1, 1.0, 50.0)], vec![0.95, 0.05]),
        urgent_at_another_account: (60.0, vec![demand(1, 0, 1.0, 90.0), demand(2, 2, 1.0, 30.0)], vec![0.5, 0.5]),
        nothing_ends: (0.0, vec![demand(1, 0, 1.0, 10.0), demand(2, 0, 1.0, 10.0)], vec![0.0, 0.0]),
        nothing_offered: (10.0, vec![demand(1, 0, 1.0, 0.0)], vec![1.0]),
        highest_rank: (5.0, vec![demand(1, 255, 1.0, 10.0)], vec![0.5]),
        without_weights: (10.0, vec![demand(1, 0, 0.0, 10.0), demand(2, 0, 0.0, 10.0)], vec![0.5, 0.5]),
    }
}

fn any_demands(random: &mut ChaCha8Rng) -> Vec<Demand<u32>> {
    let mut demands = Vec::new();
    for account in 0..random.random_range(1..17) {
        let weight = random.random_range(1.0..100.0);
        for rank in 0..random.random_range(1..5) {
            demands.push(demand(
                account,
                rank,
                weight,
                random.random_range(0.1..100.0),
            ));
        }
    }
    demands
}

/// What is let in is the room or all, ranks are in order, and each gets something.
#[gtest]
fn any_room_is_used_and_ranks_are_in_order() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..500 {
        let demands = any_demands(&mut random);
        let all: f64 = demands.iter().map(|demand| demand.offered).sum();
        let room = all * random.random_range(0.05..1.5);
        let parts = parts(room, &demands);
        let given = demands
            .iter()
            .zip(&parts)
            .map(|(demand, part)| demand.offered * part);
        assert_that!(given.sum::<f64>(), near(room.min(all), all * 1e-6));
        assert_that!(parts, each(all!(gt(&0.0), le(&(1.0 + 1e-9)))));
        let served = |rank: u8| {
            let own = demands
                .iter()
                .zip(&parts)
                .filter(|(demand, _)| demand.rank == rank);
            let (given, offered) = own.fold((0.0, 0.0), |(given, offered), (demand, part)| {
                (given + demand.offered * part, offered + demand.offered)
            });
            (offered > 0.0).then(|| given / offered)
        };
        let served: Vec<f64> = (0..5).filter_map(served).collect();
        for pair in served.windows(2) {
            assert_that!(pair[1] - pair[0], le(0.01), "{served:?}");
        }
    }
}
