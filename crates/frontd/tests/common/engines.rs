//! The only configuration of deployments with one service of engines.

use std::time::Duration;

use frontd::Decoded;
use gateway::table::{Engine, Kind, Model, RawTable, Route, Service, Table};

/// Returns a configuration with one service and a route of each kind: by default streams that
/// can't be resumed.
pub(crate) fn decoded() -> Decoded {
    decoded_with(0, None)
}

/// As [`decoded`], with this many further routes, and a goal of each route.
pub(crate) fn decoded_with(further: usize, goal: Option<Duration>) -> Decoded {
    checked(raw_table(further, goal))
}

/// Checks a configuration.
pub(crate) fn checked(table: RawTable) -> Decoded {
    Decoded {
        number: 0,
        table: Table::try_from(table).expect("the table is valid"),
    }
}

/// Returns the configuration of [`decoded_with`] before it is checked.
pub(crate) fn raw_table(further: usize, goal: Option<Duration>) -> RawTable {
    let engine = Engine {
        models: vec![Model {
            name: "m".to_owned(),
            weights_mb: 60.0,
            adapter_mb: 1.0,
            load: None,
        }],
        adapter_slots: 4,
        memory_mb: 100.0,
    };
    let mut table = RawTable::default();
    let service = Service {
        engine: Some(engine),
    };
    table.services.insert("s".to_owned(), service);
    let kinds = [
        ("/", Kind::Stream { resumable: false }, 1),
        ("/resumable/", Kind::Stream { resumable: true }, 2),
        ("/safe/", Kind::Safe, 1),
        ("/repeatable/", Kind::Safe, 2),
        ("/once/", Kind::Unsafe, 1),
    ];
    let kinds = kinds.map(|(prefix, kind, attempts)| (prefix.to_owned(), kind, attempts));
    let further = (0..further).map(|no| (format!("/further/{no}/"), Kind::Safe, 1));
    for (prefix, kind, attempts) in kinds.into_iter().chain(further) {
        table.routes.push(Route {
            name: format!("r{prefix}"),
            host: "a.example".to_owned(),
            prefix,
            kind,
            limit: Duration::from_secs(20),
            goal,
            priority: 1,
            split: vec![("s".to_owned(), 1)],
            attempts,
            public: false,
        });
    }
    table
}
