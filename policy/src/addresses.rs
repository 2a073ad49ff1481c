//! Addresses that others name as their own.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Checks an address that a server or host says it listens on.
///
/// # Errors
///
/// Returns why nothing can listen there for others: the port is zero, or the IP address is that of no
/// one host.
pub fn check_address(address: SocketAddr) -> Result<SocketAddr, String> {
    let ip = address.ip();
    let why = if address.port() == 0 {
        "has port 0"
    } else if ip.is_unspecified() {
        "names no host"
    } else if ip.is_multicast() || ip == IpAddr::V4(Ipv4Addr::BROADCAST) {
        "names more than one host"
    } else {
        return Ok(address);
    };
    Err(format!("address {address} {why}"))
}
