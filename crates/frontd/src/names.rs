//! Instance names that are derived from IP addresses.

use std::net::{IpAddr, SocketAddr};

use base::InstanceName;

/// Returns the name of the instance at `ip`. In such a deployment the address is an
/// instance's only identity: a new instance gets a new address.
///
/// # Panics
///
/// Never: an address has only characters that a name allows once its dots and colons are
/// replaced by dashes.
#[must_use]
pub fn instance_name(ip: IpAddr) -> InstanceName {
    let name = ip.to_string().replace(['.', ':'], "-");
    let name = format!("i{name}");
    InstanceName::try_from(name.as_str())
        .expect("an address without dots and colons is a valid name")
}

/// Returns the address of the instance `name` at `port`, or `None` where the name was not
/// derived from an IPv4 address.
#[must_use]
pub fn instance_address(name: &InstanceName, port: u16) -> Option<SocketAddr> {
    let ip = name.as_str().strip_prefix('i')?.replace('-', ".");
    let ip: IpAddr = ip.parse().ok()?;
    Some(SocketAddr::new(ip, port))
}
