//! Regions in which a request may run and to whose hosts its body may be sent.

use clementinearch_policy::{names::Name, routes::is_region_allowed};

use crate::{call::Call, evacuations::ZONE_EVACUATED, host_state::HostState, server::Server};

/// Reason of a refusal, and of an attempt that is not sent, because of the regions that the route and
/// the account allow.
pub(crate) const NO_SERVER_IN_REGIONS: &str = "no server in the allowed regions";

impl HostState {
    /// Whether a request may run on servers, and its body be sent to hosts, of a zone; none if the
    /// zone is not known.
    pub(crate) fn allows_zone(&self, call: &Call, zone: Option<&Name>) -> bool {
        let region = zone.and_then(|zone| self.settings.regions.get(zone));
        let account = call.head.account.as_deref();
        is_region_allowed(&call.head.route, account, region.map(|region| &**region))
    }

    /// Whether a server takes new requests and this one may run there.
    pub(crate) fn may_serve(&self, server: &Server, call: &Call) -> bool {
        self.takes_requests(server) && self.allows_zone(call, Some(&server.entry.zone))
    }

    /// Returns why no server of the request's service may get it, whatever state they are in.
    pub(crate) fn exclusion_reason(&self, call: &Call) -> Option<&'static str> {
        let pool = self.servers.pool(&call.service);
        if pool.is_empty() {
            return None;
        }
        let mut allowed = pool
            .iter()
            .filter(|server| self.allows_zone(call, Some(&server.entry.zone)))
            .peekable();
        if allowed.peek().is_none() {
            return Some(NO_SERVER_IN_REGIONS);
        }
        let mut zones = allowed.map(|server| &server.entry.zone);
        let are_evacuated = zones.all(|zone| self.evacuations.contains(zone));
        are_evacuated.then_some(ZONE_EVACUATED)
    }
}
