//! Backend servers known to this host, indexed by pool and version, and the choice between them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clementinearch_border::{HostEntry, HostRole, HostState as ListedState, LoadReport};
use clementinearch_policy::{
    load_balancing::{self, Candidate, LoadView, failure_backoff},
    names::{FastMap, Name},
    orders::LoadedVersions,
    subset::subset,
    time::Millis,
};
use clementinearch_router::{ServerEntry, ServerState as RouterServerState};
use parking_lot::{Mutex, RwLock};

use crate::backends::http_client::PersistentConnection;

/// Time without new requests after a server reported that it is leaving, unless it withdraws that.
const LEAVING_PAUSE: Duration = Duration::from_secs(30);

/// State of a server as last reported to or observed by this host.
#[derive(Debug, Default)]
struct ServerState {
    load: LoadView,
    versions: Vec<Name>,
    /// Consecutive failures.
    failures: u32,
    /// End of the pause after the last failure.
    failed_until: Millis,
    /// Time until which the server gets no new requests because it is leaving.
    leaving_until: Millis,
    /// Time of the latest report that the server is leaving.
    leaving_since: Option<Millis>,
    /// Time at which this host last probed the server.
    probed_at: Millis,
}

/// One backend server.
pub(crate) struct Server {
    pub(crate) name: Name,
    pub(crate) pool: Name,
    pub(crate) address: SocketAddr,
    /// Connection for probes of the load report.
    pub(crate) probe_connection: tokio::sync::Mutex<PersistentConnection>,
    pub(crate) zone: Name,
    /// State that the data path keeps of the server, such as its open connections.
    pub(crate) data_path_server: Arc<clementinearch_router::Server>,
    state: Mutex<ServerState>,
}

impl Candidate for Server {
    fn takes_work(&self, now: Millis) -> bool {
        self.state.lock().leaving_until <= now
    }

    fn is_in_backoff(&self, now: Millis) -> bool {
        self.state.lock().failed_until > now
    }

    fn load(&self) -> LoadView {
        let own_in_flight = self.data_path_server.local_running();
        LoadView {
            own_in_flight,
            ..self.state.lock().load
        }
    }
}

impl Server {
    /// Records that the server was unreachable, refused work or broke off a response.
    pub(crate) fn record_failure(&self, now: Millis) {
        let mut state = self.state.lock();
        state.failures += 1;
        state.failed_until = now.after(failure_backoff(state.failures));
    }

    /// Records that the server completed a response.
    pub(crate) fn record_success(&self) {
        let mut state = self.state.lock();
        state.failures = 0;
        state.failed_until = Millis(0);
    }

    /// Records that the server is listed as leaving. It gets no new requests for [`LEAVING_PAUSE`].
    pub(crate) fn record_leaving(&self, now: Millis) {
        let mut state = self.state.lock();
        state.leaving_until = state.leaving_until.max(now.after(LEAVING_PAUSE));
    }

    /// Returns when this host last probed the server.
    fn probed_at(&self) -> Millis {
        self.state.lock().probed_at
    }

    /// Records that a probe of the server starts.
    pub(crate) fn record_probe(&self, now: Millis) {
        self.state.lock().probed_at = now;
    }
}

/// Creates the data path's state of a server. The data path always sees it as ready, since this
/// module decides which servers are used.
fn data_path_server(host: &HostEntry, address: SocketAddr) -> clementinearch_router::Server {
    clementinearch_router::Server::new(ServerEntry {
        name: host.name.as_str().into(),
        service: host.pool.as_str().into(),
        address,
        zone: host.zone.as_str().into(),
        version: "".into(),
        slots: 0,
        state: RouterServerState::Ready,
        sequence: 0,
        incarnation: 0,
        cold_remaining: Duration::ZERO,
    })
}

/// Servers of one pool that run one version, or all servers of the pool.
#[derive(Default)]
struct ServerGroup {
    /// Subset of the local zone's servers that this host prefers, so that few hosts share a server.
    subset: Vec<Arc<Server>>,
    /// Other servers of the local zone.
    rest_of_zone: Vec<Arc<Server>>,
    /// Servers of other zones.
    remote: Vec<Arc<Server>>,
}

#[derive(Default)]
struct Index {
    by_name: FastMap<Name, Arc<Server>>,
    /// By pool and `model@version`; an empty version stands for all servers of the pool.
    groups: FastMap<(Name, Name), ServerGroup>,
    /// Entry hosts of the local zone.
    hosts: Vec<Name>,
}

/// One of the three sets of a group's servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerSet {
    Subset,
    RestOfZone,
    Remote,
}

/// Set that is probed in each round, cyclically. Most probes go to the servers that this host uses.
const PROBE_ORDER: [ServerSet; 5] = [
    ServerSet::Subset,
    ServerSet::RestOfZone,
    ServerSet::Subset,
    ServerSet::Remote,
    ServerSet::Subset,
];

impl Index {
    /// Iterates over the servers of this set in all groups. A server in several groups occurs several
    /// times.
    fn in_set(&self, set: ServerSet) -> impl Iterator<Item = &Arc<Server>> {
        self.groups.values().flat_map(move |group| match set {
            ServerSet::Subset => &group.subset,
            ServerSet::RestOfZone => &group.rest_of_zone,
            ServerSet::Remote => &group.remote,
        })
    }
}

impl ServerGroup {
    fn all(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.subset
            .iter()
            .chain(&self.rest_of_zone)
            .chain(&self.remote)
    }
}

/// All backend servers. Chooses one for each request.
pub(crate) struct Servers {
    me: Name,
    zone: Name,
    index: RwLock<Index>,
}

impl Servers {
    /// Creates an empty list of servers for the host `me` in `zone`.
    pub(crate) fn new(me: Name, zone: Name) -> Self {
        Self {
            me,
            zone,
            index: RwLock::default(),
        }
    }

    /// Whether no server is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.index.read().by_name.is_empty()
    }

    /// Updates the servers from the platform's host list. A server whose address changed counts as
    /// a new one.
    pub(crate) fn set_listed(&self, hosts: &[HostEntry], now: Millis) {
        let mut index = self.index.write();
        let mut by_name = FastMap::default();
        for host in hosts.iter().filter(|host| host.role == HostRole::Backend) {
            let Ok(address) = host.address.parse() else {
                continue;
            };
            let name: Name = host.name.as_str().into();
            let known = index
                .by_name
                .get(&name)
                .filter(|known| known.address == address);
            let server = known.cloned().unwrap_or_else(|| {
                Arc::new(Server {
                    name: name.clone(),
                    pool: host.pool.as_str().into(),
                    address,
                    probe_connection: PersistentConnection::new(address).into(),
                    zone: host.zone.as_str().into(),
                    data_path_server: Arc::new(data_path_server(host, address)),
                    state: Mutex::default(),
                })
            });
            if host.state == ListedState::Leaving {
                server.record_leaving(now);
            }
            by_name.insert(name, server);
        }
        let is_known = |(name, server): (&Name, &Arc<Server>)| {
            index
                .by_name
                .get(name)
                .is_some_and(|known| Arc::ptr_eq(known, server))
        };
        if by_name.len() == index.by_name.len() && by_name.iter().all(is_known) {
            return;
        }
        index.by_name = by_name;
        self.rebuild(&mut index);
    }

    /// Sets the entry hosts among which the local zone's servers are divided into subsets.
    pub(crate) fn set_entry_hosts(&self, hosts: Vec<Name>) {
        if self.index.read().hosts == hosts {
            return;
        }
        let mut index = self.index.write();
        index.hosts = hosts;
        self.rebuild(&mut index);
    }

    /// Stores a server's load report. Returns whether it is the first one that says that the server
    /// is leaving.
    pub(crate) fn set_report(
        &self,
        server: &Arc<Server>,
        report: &LoadReport,
        now: Millis,
    ) -> bool {
        let versions: Vec<Name> = report
            .versions
            .iter()
            .map(|version| version.as_str().into())
            .collect();
        let (changed, is_newly_leaving) = {
            let mut state = server.state.lock();
            state.load = LoadView {
                reported: report.running.saturating_add(report.queued),
                slots: report.slots,
                reported_at: now,
                own_in_flight: 0,
            };
            let is_newly_leaving = report.leaving && state.leaving_since.is_none();
            state.leaving_until = if report.leaving {
                now.after(LEAVING_PAUSE)
            } else {
                Millis(0)
            };
            state.leaving_since = report.leaving.then_some(now);
            let changed = state.versions != versions;
            state.versions = versions;
            (changed, is_newly_leaving)
        };
        if changed {
            self.rebuild(&mut self.index.write());
        }
        is_newly_leaving
    }

    /// Rebuilds the groups after a change of servers, of their versions, or of the zone's entry hosts.
    fn rebuild(&self, index: &mut Index) {
        let mut groups: FastMap<(Name, Name), ServerGroup> = FastMap::default();
        for server in index.by_name.values() {
            let versions = server.state.lock().versions.clone();
            let any_version: Name = "".into();
            for version in versions.into_iter().chain([any_version]) {
                let group = groups.entry((server.pool.clone(), version)).or_default();
                let is_local = server.zone == self.zone;
                let set = if is_local {
                    &mut group.rest_of_zone
                } else {
                    &mut group.remote
                };
                set.push(server.clone());
            }
        }
        for group in groups.values_mut() {
            group
                .rest_of_zone
                .sort_by(|left, right| left.name.cmp(&right.name));
            let names: Vec<Name> = group
                .rest_of_zone
                .iter()
                .map(|server| server.name.clone())
                .collect();
            let chosen = subset(&names, &index.hosts, &self.me);
            let (in_subset, others) = std::mem::take(&mut group.rest_of_zone)
                .into_iter()
                .enumerate()
                .partition::<Vec<_>, _>(|(index, _)| chosen.contains(index));
            group.subset = in_subset.into_iter().map(|(_, server)| server).collect();
            group.rest_of_zone = others.into_iter().map(|(_, server)| server).collect();
        }
        index.groups = groups;
    }

    /// Chooses the server for a request to `pool`; `version` is `model@version`, or empty for a plain
    /// service. Servers of other zones are considered if no local one has room.
    pub(crate) fn pick(&self, pool: &Name, version: &Name, now: Millis) -> Option<Arc<Server>> {
        let index = self.index.read();
        let group = index.groups.get(&(pool.clone(), version.clone()))?;
        let mut rng = fastrand::Rng::new();
        let best = load_balancing::pick(&group.subset, &group.rest_of_zone, now, &mut rng);
        let has_room = best
            .is_some_and(|best| !best.load().should_spill_over(now) && !best.is_in_backoff(now));
        let best = if has_room {
            best
        } else {
            load_balancing::pick(
                best.map_or(&[], std::slice::from_ref),
                &group.remote,
                now,
                &mut rng,
            )
        };
        best.cloned()
    }

    /// Returns all servers.
    pub(crate) fn all(&self) -> Vec<Arc<Server>> {
        self.index.read().by_name.values().cloned().collect()
    }

    /// Sums up the slots that the servers of a pool have reported.
    pub(crate) fn slots_of(&self, pool: &Name) -> u32 {
        let index = self.index.read();
        let Some(group) = index.groups.get(&(pool.clone(), "".into())) else {
            return 0;
        };
        group
            .all()
            .map(|server| server.state.lock().load.slots)
            .sum()
    }

    /// Returns the usable servers of a version, least loaded first, for the trial of a suspect request.
    pub(crate) fn sorted_by_load(
        &self,
        pool: &Name,
        version: &Name,
        now: Millis,
    ) -> Vec<Arc<Server>> {
        let index = self.index.read();
        let Some(group) = index.groups.get(&(pool.clone(), version.clone())) else {
            return Vec::new();
        };
        let is_usable =
            |server: &&Arc<Server>| server.takes_work(now) && !server.is_in_backoff(now);
        let mut servers: Vec<Arc<Server>> = group.all().filter(is_usable).cloned().collect();
        servers.sort_by(|left, right| {
            left.load()
                .score(0.0, now)
                .total_cmp(&right.load().score(0.0, now))
        });
        servers
    }

    /// Returns the versions loaded on each server of a pool that has reported and isn't leaving.
    pub(crate) fn loaded_versions(&self, pool: &Name) -> Vec<LoadedVersions> {
        let index = self.index.read();
        let Some(group) = index.groups.get(&(pool.clone(), "".into())) else {
            return Vec::new();
        };
        let loaded = |server: &Arc<Server>| {
            let state = server.state.lock();
            let is_usable = state.load.slots > 0 && state.leaving_since.is_none();
            is_usable.then(|| LoadedVersions {
                server: server.name.clone(),
                versions: state.versions.clone(),
            })
        };
        group.all().filter_map(loaded).collect()
    }

    /// Looks up a server by its name.
    pub(crate) fn get(&self, name: &str) -> Option<Arc<Server>> {
        self.index.read().by_name.get(name).cloned()
    }

    /// Returns all servers of a pool.
    pub(crate) fn in_pool(&self, pool: &Name) -> Vec<Arc<Server>> {
        let index = self.index.read();
        let group = index.groups.get(&(pool.clone(), "".into()));
        group.map_or_else(Vec::new, |group| group.all().cloned().collect())
    }

    /// Returns the servers that are leaving, with the time since that was reported.
    pub(crate) fn leaving(&self, now: Millis) -> Vec<(Name, Duration)> {
        let index = self.index.read();
        let since = |server: &Server| {
            server
                .state
                .lock()
                .leaving_since
                .map(|since| now.since(since))
        };
        index
            .by_name
            .values()
            .filter_map(|server| Some((server.name.clone(), since(server)?)))
            .collect()
    }

    /// Merges a peer's list of leaving servers, each with the time since that was reported.
    pub(crate) fn merge_leaving(&self, leaving: &[(Name, Duration)], now: Millis) {
        let index = self.index.read();
        for (name, age) in leaving {
            let Some(server) = index.by_name.get(name) else {
                continue;
            };
            let reported_at = now.before(*age);
            let mut state = server.state.lock();
            // A later report that this host received itself takes precedence.
            if reported_at > state.load.reported_at
                && state.leaving_since.is_none_or(|since| since < reported_at)
            {
                state.leaving_since = Some(reported_at);
                state.leaving_until = state.leaving_until.max(reported_at.after(LEAVING_PAUSE));
            }
        }
    }

    /// Chooses the server to probe in this round: in the set that is due by [`PROBE_ORDER`], the one
    /// whose last probe is the oldest. If the set is empty, the other sets are tried.
    pub(crate) fn next_probe(&self, round: usize) -> Option<Arc<Server>> {
        let index = self.index.read();
        let first = PROBE_ORDER[round % PROBE_ORDER.len()];
        let sets = [
            first,
            ServerSet::Subset,
            ServerSet::RestOfZone,
            ServerSet::Remote,
        ];
        let least_recent = |set| {
            index
                .in_set(set)
                .min_by_key(|server| server.probed_at())
                .cloned()
        };
        sets.into_iter().find_map(least_recent)
    }
}
