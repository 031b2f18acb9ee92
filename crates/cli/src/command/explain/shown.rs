//! An explanation as text.

use wire::explain::{
    AccountFound, CostPart, Explained, Hedge, Load, Next, Part, Passed, Refusal, Refused, Way,
    Weighed, ZoneKnown,
};

use crate::table::table;

/// Returns the explanation for people.
pub(super) fn text(explained: &Explained) -> String {
    let Explained {
        instance,
        zone,
        edition,
        route,
        ..
    } = explained;
    let goal = route.goal_ms.map(|goal| format!(", goal {goal} ms"));
    let mut blocks = vec![format!(
        "{instance} in {zone}, edition {edition}\nroute {}: rank {}, {}, on {} targets at most, limit {} ms{}",
        route.name,
        route.rank,
        route.kind,
        route.attempts,
        route.limit_ms,
        goal.unwrap_or_default()
    )];
    let account = explained.account.as_ref();
    blocks[0] += &account.map(account_line).unwrap_or_default();
    blocks[0] += &match &explained.refused {
        Some(refused) => format!("\n{}", refused_line(*refused)),
        None => "\nadmitted".to_owned(),
    };
    blocks.extend(explained.ways.iter().map(way_block));
    let zones: Vec<Vec<String>> = explained.zones.iter().map(zone_row).collect();
    blocks.push(table(&["ZONE", "OWNER", "HEARD", "LIST", "LOAD"], &zones));
    blocks.join("\n\n")
}

fn account_line(account: &AccountFound) -> String {
    let name = &account.name;
    let Some(limit) = &account.limit else {
        return format!("\naccount {name}: no limit");
    };
    let unit = &limit.unit;
    let left = match (limit.left, limit.heard_ms) {
        (Some(left), Some(age)) => format!("{left} left as of {age} ms ago"),
        (Some(left), None) => format!("{left} left, if others use none"),
        (None, _) => "nothing known of its use yet".to_owned(),
    };
    format!(
        "\naccount {name}: {left}, {} more a second; the request counts for {} ({unit})",
        limit.rate, limit.cost
    )
}

fn refused_line(refused: Refused) -> String {
    let why = match refused.why {
        Refusal::NoKey => "it needs the key of an account; give --account",
        Refusal::OverLimit => "the account has used up its limit",
        Refusal::LimitUnsure => {
            "not yet known whether the account has units left: an exchange with a control instance \
             is waited for, and decides"
        }
        Refusal::Held => "a part of its prompt crashes targets",
        Refusal::Room => "the service has too little room, and others go first",
        Refusal::NoTarget => "the service has no target that takes requests",
        Refusal::Limited => "all targets that could take it have used up their limits",
        Refusal::Resting => "all targets that could take it have asked this instance for rest",
        Refusal::NoOrders => "no zone owner can order a load now",
        Refusal::Queue => "the adapter can't be loaded in the time that it would wait",
    };
    let again = refused.again_ms;
    let again = again.map(|again| format!("; come back after {again} ms"));
    let verb = match refused.why {
        Refusal::LimitUnsure => "undecided",
        _ => "refused",
    };
    format!("{verb}: {why}{}", again.unwrap_or_default())
}

fn way_block(way: &Way) -> String {
    let share = format!("{}.{} %", way.share / 10, way.share % 10);
    let mut lines = vec![format!("service {}, {share} of the route", way.service)];
    if let Some(adapter) = &way.adapter {
        let version = way.version.map(|version| format!(", version {version}"));
        lines.push(format!("adapter {adapter}{}", version.unwrap_or_default()));
    }
    if way.let_in == Some(true) {
        lines.push("let in: room is shared, and there is enough for it".to_owned());
    }
    if let Some(part) = way.part {
        let part = format!("{}.{} %", part / 10, part % 10);
        lines.push(format!(
            "not let in: room is short, {part} of such requests are"
        ));
    }
    lines.extend(way.refused.map(refused_line));
    lines.push(next_line(&way.next));
    lines.extend(way.load.as_ref().map(load_line));
    lines.push(hedge_line(way.hedge.as_ref()));
    let rows: Vec<Vec<String>> = way.targets.iter().map(target_row).collect();
    let unit = match way.by_time {
        true => "COST MS",
        false => "COST",
    };
    lines.push(table(&["TARGET", "ZONE", unit, "OF", "STANDING"], &rows));
    lines.join("\n")
}

fn next_line(next: &Next) -> String {
    match next {
        Next::Send { target } => format!("to {target}"),
        Next::Wait { wait_ms } => format!("waits {wait_ms} ms for an adapter that is being loaded"),
        Next::Missing => {
            "waits for a load: no target that could take it has the adapter".to_owned()
        }
        Next::Limited { target, wait_ms } => {
            format!("waits {wait_ms} ms for {target}: the limits of all targets are used up")
        }
        Next::Resting { target, wait_ms } => {
            format!("waits {wait_ms} ms for {target}: all targets rest")
        }
        Next::NoTarget => "nowhere: no target takes it".to_owned(),
    }
}

fn load_line(load: &Load) -> String {
    let what = match load.copy {
        true => "one more copy of",
        false => "a load of",
    };
    let expected = load.expected_ms;
    let expected = expected.map(|expected| format!(", there in {expected} ms"));
    let Load { adapter, zone, .. } = load;
    format!(
        "asks {zone} for {what} {adapter}{}",
        expected.unwrap_or_default()
    )
}

fn hedge_line(hedge: Option<&Hedge>) -> String {
    let Some(hedge) = hedge else {
        return "no second send".to_owned();
    };
    let after = hedge.after_ms;
    match (&hedge.target, &hedge.withheld) {
        (Some(target), _) => format!("second send after {after} ms, as of now to {target}"),
        (None, why) => {
            let why = why.as_deref().unwrap_or("room");
            format!("second send after {after} ms, as of now withheld: {why}")
        }
    }
}

fn target_row(weighed: &Weighed) -> Vec<String> {
    let cost = weighed.cost.map(|cost| cost.to_string());
    let parts = weighed.parts.iter().map(|CostPart { part, cost }| {
        let part = match part {
            Part::Load => "load",
            Part::Queue => "queue",
            Part::Prompts => "prompts",
            Part::Zone => "other zone",
            Part::Need => "limit",
            Part::Failures => "failures",
            Part::Full => "full",
            Part::Avoided => "unreachable",
            Part::Tried => "tried",
            Part::Loading => "loading",
        };
        format!("{part} {cost}")
    });
    let parts: Vec<String> = parts.collect();
    let standing = weighed.passed.map_or("chosen".to_owned(), standing);
    vec![
        weighed.target.clone(),
        weighed.zone.clone(),
        cost.unwrap_or_else(|| "-".to_owned()),
        match parts.is_empty() {
            true => "-".to_owned(),
            false => parts.join(" + "),
        },
        standing,
    ]
}

fn standing(passed: Passed) -> String {
    let plain = match passed {
        Passed::Leaving => "takes no requests any more",
        Passed::Software => "other software",
        Passed::NoAdapter => "doesn't hold the adapter",
        Passed::OldVersion { version } => return format!("holds version {version} only"),
        Passed::Unreachable => "could not be reached lately",
        Passed::Tried => "has failed this request",
        Passed::Blocked { left_ms } => return format!("limit used up for {left_ms} ms"),
        Passed::Resting { left_ms } => {
            return format!("has asked for rest, takes the next one in {left_ms} ms");
        }
        Passed::Loading { left_ms } => return format!("loads the adapter for {left_ms} ms"),
        Passed::Dearer => "costs more",
        Passed::Elsewhere => "the best one is in another zone",
        Passed::NotDrawn => "not drawn",
    };
    plain.to_owned()
}

fn zone_row(known: &ZoneKnown) -> Vec<String> {
    let age = |age: Option<u64>| age.map_or("-".to_owned(), |age| format!("{age} ms"));
    let owner = known.owner.map(|owner| owner.to_string());
    vec![
        known.zone.clone(),
        owner.unwrap_or_else(|| "none heard".to_owned()),
        age(known.heard_ms),
        age(known.list_ms),
        age(known.load_ms),
    ]
}
