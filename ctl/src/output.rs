//! Output of commands as JSON or as a table.

use clementinearch_border::{FleetStatus, HostStatus};

/// Prints a JSON value on one line.
pub(crate) fn print_json(value: &serde_json::Value) {
    println!("{value}");
}

/// Prints a table of the entry hosts, each followed by its findings.
pub(crate) fn print_fleet(status: &FleetStatus) {
    println!(
        "newest revision {}, according to {}",
        status.newest_revision, status.answered_by
    );
    println!(
        "{:<16} {:<16} {:<9} {:<9} WHY NOT",
        "ZONE", "HOST", "IN FORCE", "REVISION"
    );
    for host in &status.hosts {
        print_host(host);
    }
}

fn print_host(host: &HostStatus) {
    let in_force = if host.in_force { "yes" } else { "no" };
    let revision = host
        .revision
        .map_or_else(|| "unknown".to_owned(), |revision| revision.to_string());
    let why_not = host.why_not.as_deref().unwrap_or_default();
    println!(
        "{:<16} {:<16} {in_force:<9} {revision:<9} {why_not}",
        host.zone, host.host
    );
    for finding in &host.findings {
        println!("    {finding}");
    }
}
