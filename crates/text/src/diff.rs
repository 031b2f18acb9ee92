//! Differences between two texts, in terms of the text's own keys.

use std::{collections::BTreeMap, fmt};

use base::record;

use crate::model::{Adapter, Brand, Limits, Model, Pool, PoolKind, Service, ServiceKind, Store};

/// Bytes of a key's hash that a difference shows, as two hex digits each.
const HASH_BYTES_SHOWN: usize = 4;

record! {
    /// Kind of a thing that differs.
    #[derive(Copy, PartialOrd, Ord)]
    #[serde(rename_all = "lowercase")]
    pub enum ItemKind {
        /// Limits for all brands.
        Limits,
        /// Limits of the weight store.
        Store,
        /// A pool.
        Pool,
        /// A brand.
        Brand,
        /// An adapter.
        Adapter,
        /// A version of an adapter, where both texts have the adapter.
        Version,
        /// A service.
        Service,
    }

    /// How a thing differs.
    #[derive(Copy, PartialOrd, Ord)]
    #[serde(rename_all = "lowercase")]
    pub enum ChangeKind {
        /// Only the new text has it.
        Added,
        /// Both have it, with other values.
        Changed,
        /// Only the old text has it.
        Removed,
    }

    /// One difference.
    pub struct Change {
        /// Kind of the thing that differs.
        pub what: ItemKind,
        /// Its name; empty for limits and store.
        pub name: String,
        /// How it differs.
        pub how: ChangeKind,
        /// Each value that differs, as `key: old -> new`; for an added thing, all its
        /// values, as `key: value`.
        pub details: Vec<String>,
    }

    /// All differences, in a fixed order.
    #[derive(Default)]
    pub struct Diff {
        /// One change for each thing that differs.
        pub changes: Vec<Change>,
    }
}

/// Items of one kind by name, each with its keys and values.
type Items = BTreeMap<String, Vec<(&'static str, String)>>;

/// Compares two texts.
#[must_use]
pub fn diff(old: &Model, new: &Model) -> Diff {
    let mut changes = Vec::new();
    compare(
        &mut changes,
        ItemKind::Limits,
        single(limits(&old.limits)),
        single(limits(&new.limits)),
    );
    compare(
        &mut changes,
        ItemKind::Store,
        single(store(&old.store)),
        single(store(&new.store)),
    );
    compare(
        &mut changes,
        ItemKind::Pool,
        items(&old.pools, pool),
        items(&new.pools, pool),
    );
    compare(
        &mut changes,
        ItemKind::Brand,
        items(&old.brands, brand),
        items(&new.brands, brand),
    );
    compare(
        &mut changes,
        ItemKind::Adapter,
        items(&old.adapters, adapter),
        items(&new.adapters, adapter),
    );
    compare(
        &mut changes,
        ItemKind::Version,
        versions(old, new),
        versions(new, old),
    );
    compare(
        &mut changes,
        ItemKind::Service,
        services(old),
        services(new),
    );
    Diff { changes }
}

impl Diff {
    /// Returns whether both texts declare the same.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

impl fmt::Display for ItemKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ItemKind::Limits => "limits",
            ItemKind::Store => "store",
            ItemKind::Pool => "pool",
            ItemKind::Brand => "brand",
            ItemKind::Adapter => "adapter",
            ItemKind::Version => "version",
            ItemKind::Service => "service",
        })
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.how {
            ChangeKind::Added => '+',
            ChangeKind::Changed => '~',
            ChangeKind::Removed => '-',
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

fn compare(changes: &mut Vec<Change>, what: ItemKind, old: Items, new: Items) {
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
            None => change(name, ChangeKind::Added, values.iter().map(value).collect()),
            Some(before) if before != values => {
                change(name, ChangeKind::Changed, details(before, values))
            }
            Some(_) => {}
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        change(name, ChangeKind::Removed, Vec::new());
    }
}

fn value((key, value): &(&'static str, String)) -> String {
    if value.is_empty() {
        (*key).to_owned()
    } else {
        format!("{key}: {value}")
    }
}

/// Lists values that differ. Values are matched by key, because pools and services of
/// different kinds have different keys.
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

/// Returns the values of a thing that has no name.
fn single(values: Vec<(&'static str, String)>) -> Items {
    BTreeMap::from([(String::new(), values)])
}

fn items<N: fmt::Display, T>(
    things: &BTreeMap<N, T>,
    values: impl Fn(&T) -> Vec<(&'static str, String)>,
) -> Items {
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
        .take(HASH_BYTES_SHOWN)
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

/// Returns the versions of those adapters of `model` that `other` has too. For the other
/// adapters, the addition or removal of the adapter covers its versions.
fn versions(model: &Model, other: &Model) -> Items {
    let shared = model
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

fn services(model: &Model) -> Items {
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
