//! Status of the configuration on this host and on all hosts of the fleet.

use std::sync::Arc;

use clementinearch_border::{FleetStatus, HostStatus};
use clementinearch_policy::membership::Member;

use crate::{
    host_state::HostState,
    peers::clients::{PeerClients, PeerError, call_context},
    peers::protocol::{PeerClient, StatusReport},
};

/// Returns the status of the configuration on this host.
pub(crate) fn own_status(state: &HostState) -> StatusReport {
    let in_force = state.config_in_force();
    StatusReport {
        revision: state.revision(),
        since_ms: in_force.map_or(0, |in_force| in_force.since.0),
        newest_heard: state.newest_known_revision(),
        findings: state.findings(),
        readiness: state.readiness().map_err(str::to_owned),
    }
}

/// Asks all hosts that are expected to apply the configuration for their status, and compares it
/// with the newest revision that any of them knows.
pub(crate) async fn fleet_status(state: &Arc<HostState>, clients: &PeerClients) -> FleetStatus {
    let members = state.members.lock().expected_to_apply();
    let requests = members.iter().map(|member| async move {
        if member.name == state.settings.name {
            return (member, Ok(own_status(state)));
        }
        let call = |client: PeerClient| async move { client.status(call_context()).await };
        (member, clients.call(&member.address, call).await)
    });
    let answers = futures::future::join_all(requests).await;
    let reports = answers
        .iter()
        .filter_map(|(_, answer)| answer.as_ref().ok());
    let newest = reports
        .map(|report| report.newest_heard.max(report.revision))
        .max()
        .unwrap_or(0);
    let mut hosts: Vec<HostStatus> = answers
        .iter()
        .map(|(member, answer)| host_status(member, answer, newest))
        .collect();
    hosts.sort_by(|left, right| (&left.zone, &left.host).cmp(&(&right.zone, &right.host)));
    FleetStatus {
        answered_by: state.settings.name.to_string(),
        newest_revision: newest,
        in_force_everywhere: hosts.iter().all(|host| host.in_force),
        hosts,
    }
}

/// Returns one host's status; the configuration is in force there if the host reported
/// revision `newest` and no findings.
fn host_status(
    member: &Member,
    answer: &Result<StatusReport, PeerError>,
    newest: u64,
) -> HostStatus {
    let mut status = HostStatus {
        host: member.name.to_string(),
        zone: member.zone.to_string(),
        in_force: false,
        revision: None,
        since_ms: None,
        why_not: None,
        findings: Vec::new(),
    };
    let report = match answer {
        Ok(report) => report,
        Err(e) => {
            status.why_not = Some(e.to_string());
            return status;
        }
    };
    status.revision = Some(report.revision);
    status.since_ms = Some(report.since_ms);
    status.findings = report.findings.clone();
    status.why_not = if report.revision < newest {
        Some(format!(
            "applies revision {}, newest is {newest}",
            report.revision
        ))
    } else if !report.findings.is_empty() {
        Some("has findings".to_owned())
    } else {
        None
    };
    status.in_force = status.why_not.is_none();
    status
}
