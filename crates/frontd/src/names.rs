//! Names of instances that know each other by address only.

use std::net::{IpAddr, SocketAddr};

use base::InstanceName;

/// Returns the name of the instance at `ip`: nothing else tells instances of
/// such a deployment apart, and a new instance comes under a new address.
///
/// # Panics
///
/// Never: an address has only characters that fit a name once its dots and
/// colons are dashes.
#[must_use]
pub fn instance_name(ip: IpAddr) -> InstanceName {
    let name = ip.to_string().replace(['.', ':'], "-");
    let name = format!("i{name}");
    InstanceName::try_from(name.as_str()).expect("an address makes a name")
}

/// Returns where the instance of this name listens for others.
#[must_use]
pub fn instance_address(name: &InstanceName, port: u16) -> Option<SocketAddr> {
    let ip = name.as_str().strip_prefix('i')?.replace('-', ".");
    let ip: IpAddr = ip.parse().ok()?;
    Some(SocketAddr::new(ip, port))
}
