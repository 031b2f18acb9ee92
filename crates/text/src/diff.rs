//! What changes between two texts, in the operators' own words.

use std::{collections::BTreeMap, fmt};

use base::record;

use crate::model::{Adapter, Brand, Limits, Model, Pool, PoolKind, Service, ServiceKind, Store};

/// Hex digits of a key's hash that a difference shows.
const HASH_SHOWN: usize = 4;

record! {
    /// What differs.
    #[derive(Copy, PartialOrd, Ord)]
    #[serde(rename_all = "lowercase")]
    pub enum What {
        /// Limits for everybody.
        Limits,
        /// What the weight store allows.
        Store,
        /// A pool.
        Pool,
        /// A brand.
        Brand,
        /// An adapter.
        Adapter,
        /// A version of an adapter that both texts have.
        Version,
        /// A service.
        Service,
    }

    /// How it differs.
    #[derive(Copy, PartialOrd, Ord)]
    #[serde(rename_all = "lowercase")]
    pub enum How {
        /// Only the new text has it.
        Added,
        /// Both have it, with other values.
        Changed,
        /// Only the old text has it.
        Removed,
    }

    /// One difference.
    pub struct Change {
        /// What differs.
        pub what: What,
        /// Its name.
        pub name: String,
        /// How it differs.
        pub how: How,
        /// Each value that differs, as `key: old -> new`.
        pub details: Vec<String>,
    }

    /// All differences, in a fixed order.
    #[derive(Default)]
    pub struct Diff {
        /// One for each thing that differs.
        pub changes: Vec<Change>,
    }
}

/// Things of one kind by name, each as its keys and values.
type Things = BTreeMap<String, Vec<(&'static str, String)>>;

/// Compares two texts.
#[must_use]
pub fn diff(old: &Model, new: &Model) -> Diff {
    let mut changes = Vec::new();
    compare(
        &mut changes,
        What::Limits,
        one(limits(&old.limits)),
        one(limits(&new.limits)),
    );
    compare(
        &mut changes,
        What::Store,
        one(store(&old.store)),
        one(store(&new.store)),
    );
    compare(
        &mut changes,
        What::Pool,
        each(&old.pools, pool),
        each(&new.pools, pool),
    );
    compare(
        &mut changes,
        What::Brand,
        each(&old.brands, brand),
        each(&new.brands, brand),
    );
    compare(
        &mut changes,
        What::Adapter,
        each(&old.adapters, adapter),
        each(&new.adapters, adapter),
    );
    compare(
        &mut changes,
        What::Version,
        versions(old, new),
        versions(new, old),
    );
    compare(&mut changes, What::Service, services(old), services(new));
    Diff { changes }
}

impl Diff {
    /// Returns whether both texts say the same.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

impl fmt::Display for What {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            What::Limits => "limits",
            What::Store => "store",
            What::Pool => "pool",
            What::Brand => "brand",
            What::Adapter => "adapter",
            What::Version => "version",
            What::Service => "service",
        })
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.how {
            How::Added => '+',
            How::Changed => '~',
            How::Removed => '-',
        };
        write!(f, "{sign} {}", self.what)?;
        if !self.name.is_empty() {
            write!(f, " {}", self.name)?;
        }
        if !self.details.is_empty() {
            write!(f, " ({})", self.details.join("; "))?;
        }
        Ok(())
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.changes
            .iter()
            .try_for_each(|change| writeln!(f, "{change}"))
    }
}

fn compare(changes: &mut Vec<Change>, what: What, old: Things, new: Things) {
    let mut change = |name: &str, how, details| {
        changes.push(Change {
            what,
            name: name.to_owned(),
            how,
            details,
        });
    };
    for (name, values) in &new {
        match old.get(name) {
            None => change(name, How::Added, values.iter().map(value).collect()),
            Some(before) if before != values => change(name, How::Changed, details(before, values)),
            Some(_) => {}
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        change(name, How::Removed, Vec::new());
    }
}

fn value((key, value): &(&'static str, String)) -> String {
    if value.is_empty() {
        (*key).to_owned()
    } else {
        format!("{key}: {value}")
    }
}

/// Lists values that differ. Values are matched by key, as a pool or service
/// of another kind has other keys.
fn details(old: &[(&'static str, String)], new: &[(&'static str, String)]) -> Vec<String> {
    let find = |list: &[(&'static str, String)], key| {
        list.iter()
            .find(|(k, _)| *k == key)
            .map_or("none".to_owned(), |(_, value)| value.clone())
    };
    let gone = old
        .iter()
        .filter(|(key, _)| !new.iter().any(|(k, _)| k == key));
    let keys = new.iter().chain(gone).map(|(key, _)| *key);
    let pairs = keys.map(|key| (key, find(old, key), find(new, key)));
    let changed = pairs.filter(|(_, old, new)| old != new);
    changed
        .map(|(key, old, new)| format!("{key}: {old} -> {new}"))
        .collect()
}

fn one(values: Vec<(&'static str, String)>) -> Things {
    BTreeMap::from([(String::new(), values)])
}

fn each<N: fmt::Display, T>(
    things: &BTreeMap<N, T>,
    values: impl Fn(&T) -> Vec<(&'static str, String)>,
) -> Things {
    things
        .iter()
        .map(|(name, thing)| (name.to_string(), values(thing)))
        .collect()
}

fn limits(limits: &Limits) -> Vec<(&'static str, String)> {
    vec![
        ("max-body-bytes", limits.max_body.to_string()),
        (
            "live-deadline-ms",
            limits.live_deadline.as_millis().to_string(),
        ),
        (
            "critical-deadline-ms",
            limits.critical_deadline.as_millis().to_string(),
        ),
        (
            "batch-deadline-ms",
            limits.batch_deadline.as_millis().to_string(),
        ),
        ("attempts", limits.attempts.to_string()),
    ]
}

fn store(store: &Store) -> Vec<(&'static str, String)> {
    vec![
        ("rate", store.rate.to_string()),
        ("at-once", store.at_once.to_string()),
    ]
}

fn pool(pool: &Pool) -> Vec<(&'static str, String)> {
    match &pool.kind {
        PoolKind::Engine {
            base,
            slots,
            batch,
            fencing,
        } => vec![
            ("kind", "engine".to_owned()),
            ("base", base.to_string()),
            ("slots", slots.to_string()),
            ("batch", batch.to_string()),
            ("fencing", fencing.to_string()),
        ],
        PoolKind::Plain { at_once } => {
            vec![
                ("kind", "plain".to_owned()),
                ("at-once", at_once.to_string()),
            ]
        }
    }
}

fn brand(brand: &Brand) -> Vec<(&'static str, String)> {
    let keys: Vec<String> = brand.keys.iter().map(short_hash).collect();
    vec![
        ("weight", brand.weight.to_string()),
        ("keys", keys.join(" ")),
    ]
}

fn short_hash(hash: &[u8; 32]) -> String {
    hash.iter()
        .take(HASH_SHOWN)
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

fn adapter(adapter: &Adapter) -> Vec<(&'static str, String)> {
    vec![
        ("brand", adapter.brand.to_string()),
        ("base", adapter.base.to_string()),
        ("serve", adapter.serve.to_string()),
        ("weights", adapter.weights.clone()),
    ]
}

/// Versions of the adapters of `one` that `other` has too; those of the rest
/// come and go with their adapters.
fn versions(one: &Model, other: &Model) -> Things {
    let shared = one
        .adapters
        .iter()
        .filter(|(name, _)| other.adapters.contains_key(*name));
    let names = shared.flat_map(|(name, adapter)| {
        adapter
            .versions
            .iter()
            .map(move |version| format!("{name}@{version}"))
    });
    names.map(|name| (name, Vec::new())).collect()
}

fn services(model: &Model) -> Things {
    let all = model.services.iter().flat_map(|(brand, services)| {
        services
            .iter()
            .map(move |(name, thing)| (format!("{brand}/{name}"), service(thing)))
    });
    all.collect()
}

fn service(service: &Service) -> Vec<(&'static str, String)> {
    let needs: Vec<&str> = service
        .needs
        .iter()
        .map(base::ServiceName::as_str)
        .collect();
    let mut values = match &service.kind {
        ServiceKind::Assistant { adapter } => {
            vec![
                ("kind", "assistant".to_owned()),
                ("adapter", adapter.to_string()),
            ]
        }
        ServiceKind::Plain => vec![("kind", "plain".to_owned())],
    };
    let mark = match service.mark {
        base::Mark::Repeatable => "repeatable",
        base::Mark::Once => "once",
    };
    values.extend([
        ("pool", service.pool.to_string()),
        ("class", service.class.to_string()),
        ("mark", mark.to_owned()),
        ("needs", needs.join(" ")),
    ]);
    values
}
