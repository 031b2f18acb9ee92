//! Time of one routing or scheduling decision, by size of the fleet. The largest size is
//! the one that the system is designed for: 48,000 adapters and 600 engines.

use std::hint::black_box;

use base::{
    AdapterKey, AdapterNo, BrandNo, Class, Fence, Incarnation, TargetNo, Ticket, Time, Tokens,
    Version, stable_hash,
};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use route::{
    Engine, Input, LoadPolicy, PoolNo, RequestSpec, Residents, Router, RouterUpdate, Scheduler,
    Target, ZoneNo,
};

/// Adapter slots of an engine.
const SLOTS: u32 = 8;

/// Concurrent requests of an engine: so many that no benchmark fills one.
const CONCURRENCY: u32 = 100_000_000;

/// Numbers of adapters and engines.
const SIZES: [(u32, u32); 4] = [(3_000, 12), (12_000, 150), (24_000, 300), (48_000, 600)];

fn key(adapter: u32) -> AdapterKey {
    AdapterKey {
        adapter: AdapterNo(adapter),
        version: Version(1),
    }
}

fn spec(adapter: u32) -> RequestSpec {
    RequestSpec {
        pool: PoolNo(0),
        key: Some(key(adapter)),
        brand: BrandNo(adapter % 3),
        class: Class::Live,
        prefix: u64::from(adapter) + 1,
        tokens: Tokens(100),
        deadline: Time::from_millis(1_000_000_000),
    }
}

/// Returns a router with `adapters` adapters and `engines` engines whose slots are all
/// full; the adapters with the lowest numbers are resident.
fn router(adapters: u32, engines: u32) -> Router {
    let mut router = Router::new(ZoneNo(0), 1);
    for adapter in (0..adapters).map(AdapterNo) {
        let hash = stable_hash(&[&adapter.0.to_le_bytes()]);
        router.apply(Time::ZERO, RouterUpdate::Adapter { adapter, hash });
    }
    for no in 0..engines {
        let target = Target {
            target: TargetNo(no),
            pool: PoolNo(0),
            zone: ZoneNo(no % 4),
            hash: stable_hash(&[&no.to_le_bytes()]),
            incarnation: Incarnation(1),
            batch: CONCURRENCY,
            slots: SLOTS,
        };
        router.apply(Time::ZERO, RouterUpdate::Target(target));
        let held = (0..SLOTS).map(|slot| key(no * SLOTS + slot));
        let residents = Residents {
            target: TargetNo(no),
            fence: Fence(1),
            full: true,
            added: held.collect(),
            removed: Vec::new(),
            running: no % 100,
            queued: 0,
            evict_cost: no % 50,
        };
        router.apply(Time::ZERO, RouterUpdate::Residents(residents));
    }
    router
}

fn choices(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose");
    for (adapters, engines) in SIZES {
        let held = engines * SLOTS;
        let cases = [("held", 0, held), ("cold", held, adapters)];
        for (name, from, to) in cases {
            let mut router = router(adapters, engines);
            let mut adapter = from;
            let id = BenchmarkId::new(name, format!("{adapters}x{engines}"));
            group.bench_function(id, |b| {
                b.iter(|| {
                    adapter = if adapter + 1 >= to { from } else { adapter + 1 };
                    black_box(router.choose(Time::from_millis(5), &spec(adapter), &[]))
                });
            });
        }
    }
    group.finish();
}

fn schedulers(c: &mut Criterion) {
    let mut group = c.benchmark_group("scheduler");
    for queued in [0u64, 1_000, 10_000] {
        let mut scheduler = Scheduler::new(1);
        let mut out = Vec::new();
        let engine = Engine {
            target: TargetNo(0),
            incarnation: Incarnation(1),
            slots: SLOTS,
            batch: CONCURRENCY,
            policy: LoadPolicy::Full,
        };
        let owned = Input::Owned {
            engine,
            held: (0..SLOTS).map(key).collect(),
            inherited: false,
        };
        scheduler.handle(Time::ZERO, owned, &mut out);
        for ticket in 0..queued {
            let spec = RequestSpec {
                class: Class::Batch,
                ..spec(SLOTS + (ticket % 1_000) as u32)
            };
            let arrive = Input::Arrive {
                ticket: Ticket(ticket),
                target: TargetNo(0),
                spec,
            };
            scheduler.handle(Time::ZERO, arrive, &mut out);
        }
        let mut ticket = 1_000_000;
        group.bench_function(BenchmarkId::new("arrive-and-end", queued), |b| {
            b.iter(|| {
                ticket += 1;
                out.clear();
                let (target, spec) = (TargetNo(0), spec((ticket % 8) as u32));
                let ticket = Ticket(ticket);
                let now = Time::from_millis(5);
                let arrive = Input::Arrive {
                    ticket,
                    target,
                    spec,
                };
                scheduler.handle(now, arrive, &mut out);
                scheduler.handle(now, Input::Finished { ticket, ok: true }, &mut out);
                black_box(out.len())
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choices, schedulers);
criterion_main!(benches);
