//! Parsers for the values of single settings.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

use base::InstanceName;

/// Parses an address to listen on; with port 0 the operating system chooses the port.
pub(crate) fn listen(raw: &str) -> Result<SocketAddr, String> {
    raw.parse()
        .map_err(|_| format!("`{raw}` is not ip:port, such as 127.0.0.1:7000"))
}

/// Parses an address that others connect to, which needs a specific ip and port.
pub(crate) fn address(raw: &str) -> Result<SocketAddr, String> {
    let addr = listen(raw)?;
    let unspecified = match addr.ip() {
        IpAddr::V4(ip) => ip.is_unspecified(),
        IpAddr::V6(ip) => ip.is_unspecified(),
    };
    if unspecified || addr.port() == 0 {
        return Err(format!(
            "`{raw}` is not an address that others can connect to"
        ));
    }
    Ok(addr)
}

/// Parses `http://ip:port`, with or without a slash at the end.
pub(crate) fn http_address(raw: &str) -> Result<SocketAddr, String> {
    let rest = raw
        .strip_prefix("http://")
        .map(|rest| rest.trim_end_matches('/'));
    let Some(rest) = rest else {
        return Err(format!("`{raw}` doesn't start with http://"));
    };
    address(rest)
}

/// Parses `name=ip:port,name=ip:port`.
pub(crate) fn peers(raw: &str) -> Result<BTreeMap<InstanceName, SocketAddr>, String> {
    let mut peers = BTreeMap::new();
    let mut errors = Vec::new();
    for part in raw.split(',') {
        match peer(part.trim()) {
            Err(err) => errors.push(err),
            Ok((name, _)) if peers.contains_key(&name) => {
                errors.push(format!("`{name}` is named twice"));
            }
            Ok((name, addr)) => {
                peers.insert(name, addr);
            }
        }
    }
    if errors.is_empty() {
        Ok(peers)
    } else {
        Err(errors.join("; "))
    }
}

fn peer(raw: &str) -> Result<(InstanceName, SocketAddr), String> {
    let Some((name, addr)) = raw.split_once('=') else {
        return Err(format!("`{raw}` is not name=ip:port"));
    };
    let name = name
        .parse::<InstanceName>()
        .map_err(|err| err.to_string())?;
    Ok((name, address(addr)?))
}

/// Parses an integer number of milliseconds, at most `most`.
pub(crate) fn millis(raw: &str, most: u64) -> Result<Duration, String> {
    Ok(Duration::from_millis(number(raw, 0, most)?))
}

/// Parses an integer from `least` to `most`.
pub(crate) fn number(raw: &str, least: u64, most: u64) -> Result<u64, String> {
    match raw.parse::<u64>() {
        Ok(n) if (least..=most).contains(&n) => Ok(n),
        _ => Err(format!("`{raw}` is not an integer from {least} to {most}")),
    }
}

/// Parses a path; any string is accepted.
pub(crate) fn path(raw: &str) -> Result<PathBuf, String> {
    Ok(PathBuf::from(raw))
}
