//! Backend servers as this host knows them, indexed by what they run.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clementinearch_border::{HostEntry, HostRole, HostState, LoadReport};
use clementinearch_policy::{
    backend::{self, Candidate, LoadView, failure_pause},
    names::{FastMap, Name},
    orders::Loaded,
    subset::subset,
    time::Millis,
};
use clementinearch_router::{ServerEntry, ServerState as PathState};
use parking_lot::{Mutex, RwLock};

use crate::backends::http_client::PersistentConnection;

/// How long a server that said it leaves is left alone, unless it says otherwise.
const AVOID_LEAVING: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct ServerState {
    load: LoadView,
    versions: Vec<Name>,
    failures: u32,
    failed_until: Millis,
    leaving_until: Millis,
    leaving_since: Option<Millis>,
    probed_at: Millis,
}

/// One backend server.
pub(crate) struct Server {
    pub(crate) name: Name,
    pub(crate) pool: Name,
    pub(crate) address: SocketAddr,
    /// Connection for load reports.
    pub(crate) probe_connection: tokio::sync::Mutex<PersistentConnection>,
    pub(crate) zone: Name,
    /// The server as the data path knows it.
    pub(crate) data_path_server: Arc<clementinearch_router::Server>,
    state: Mutex<ServerState>,
}

impl Candidate for Server {
    fn takes_work(&self, now: Millis) -> bool {
        self.state.lock().leaving_until <= now
    }

    fn failed_lately(&self, now: Millis) -> bool {
        self.state.lock().failed_until > now
    }

    fn load(&self) -> LoadView {
        let own_in_flight = self.data_path_server.own_running();
        LoadView {
            own_in_flight,
            ..self.state.lock().load
        }
    }
}

impl Server {
    /// Notes that the server could not be reached, refused work or broke an answer off.
    pub(crate) fn note_failure(&self, now: Millis) {
        let mut state = self.state.lock();
        state.failures += 1;
        state.failed_until = now.after(failure_pause(state.failures));
    }

    /// Notes that the server answered a request whole.
    pub(crate) fn note_success(&self) {
        let mut state = self.state.lock();
        state.failures = 0;
        state.failed_until = Millis(0);
    }

    /// Notes that the server takes no new work.
    pub(crate) fn note_leaving(&self, now: Millis) {
        let mut state = self.state.lock();
        state.leaving_until = state.leaving_until.max(now.after(AVOID_LEAVING));
    }

    /// When the server was last asked for a report.
    fn probed_at(&self) -> Millis {
        self.state.lock().probed_at
    }

    /// Notes that the server is being asked for a report.
    pub(crate) fn note_probed(&self, now: Millis) {
        self.state.lock().probed_at = now;
    }
}

/// The server as the data path knows it; what it takes is decided here.
fn data_path_server(host: &HostEntry, address: SocketAddr) -> clementinearch_router::Server {
    clementinearch_router::Server::new(ServerEntry {
        name: host.name.as_str().into(),
        service: host.pool.as_str().into(),
        address,
        zone: host.zone.as_str().into(),
        version: "".into(),
        slots: 0,
        state: PathState::Ready,
        born: 0,
    })
}

/// Servers that run one version, or one pool of a plain service.
#[derive(Default)]
struct Group {
    /// Servers of the own zone that this host uses, so that few hosts share a server.
    used: Vec<Arc<Server>>,
    /// The zone's other servers.
    spare: Vec<Arc<Server>>,
    remote: Vec<Arc<Server>>,
}

#[derive(Default)]
struct Index {
    by_name: FastMap<Name, Arc<Server>>,
    /// By pool and `model@version`; the version is empty for the whole pool.
    groups: FastMap<(Name, Name), Group>,
    /// Entry hosts of the own zone.
    hosts: Vec<Name>,
}

/// How a host relates to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Used,
    Spare,
    Remote,
}

/// Kinds of the servers that are asked for their reports, round after round.
const PROBE_ORDER: [Kind; 5] = [
    Kind::Used,
    Kind::Spare,
    Kind::Used,
    Kind::Remote,
    Kind::Used,
];

impl Index {
    fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Arc<Server>> {
        self.groups.values().flat_map(move |group| match kind {
            Kind::Used => &group.used,
            Kind::Spare => &group.spare,
            Kind::Remote => &group.remote,
        })
    }
}

impl Group {
    fn all(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.used.iter().chain(&self.spare).chain(&self.remote)
    }
}

/// All backend servers.
pub(crate) struct Servers {
    me: Name,
    zone: Name,
    index: RwLock<Index>,
}

impl Servers {
    /// No server yet, for the host `me` in `zone`.
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

    /// Takes in the platform's host list: the list goes by name, state and address.
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
            if host.state == HostState::Leaving {
                server.note_leaving(now);
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

    /// Takes in which entry hosts share the zone's servers.
    pub(crate) fn set_entry_hosts(&self, hosts: Vec<Name>) {
        if self.index.read().hosts == hosts {
            return;
        }
        let mut index = self.index.write();
        index.hosts = hosts;
        self.rebuild(&mut index);
    }

    /// Takes in a server's own report. Returns whether it says for the first time that it leaves.
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
        let (changed, began_leaving) = {
            let mut state = server.state.lock();
            state.load = LoadView {
                reported: report.running + report.queued,
                slots: report.slots,
                reported_at: now,
                own_in_flight: 0,
            };
            let began_leaving = report.leaving && state.leaving_since.is_none();
            state.leaving_until = if report.leaving {
                now.after(AVOID_LEAVING)
            } else {
                Millis(0)
            };
            state.leaving_since = report.leaving.then_some(now);
            let changed = state.versions != versions;
            state.versions = versions;
            (changed, began_leaving)
        };
        if changed {
            self.rebuild(&mut self.index.write());
        }
        began_leaving
    }

    fn rebuild(&self, index: &mut Index) {
        let mut groups: FastMap<(Name, Name), Group> = FastMap::default();
        for server in index.by_name.values() {
            let versions = server.state.lock().versions.clone();
            let whole_pool: Name = "".into();
            for version in versions.into_iter().chain([whole_pool]) {
                let group = groups.entry((server.pool.clone(), version)).or_default();
                let is_local = server.zone == self.zone;
                let side = if is_local {
                    &mut group.spare
                } else {
                    &mut group.remote
                };
                side.push(server.clone());
            }
        }
        for group in groups.values_mut() {
            group
                .spare
                .sort_by(|left, right| left.name.cmp(&right.name));
            let names: Vec<Name> = group
                .spare
                .iter()
                .map(|server| server.name.clone())
                .collect();
            let chosen = subset(&names, &index.hosts, &self.me);
            let (used, spare) = std::mem::take(&mut group.spare)
                .into_iter()
                .enumerate()
                .partition::<Vec<_>, _>(|(number, _)| chosen.contains(number));
            group.used = used.into_iter().map(|(_, server)| server).collect();
            group.spare = spare.into_iter().map(|(_, server)| server).collect();
        }
        index.groups = groups;
    }

    /// The server for a request of `pool`; `version` is `model@version`, or empty for a plain service.
    pub(crate) fn pick(&self, pool: &Name, version: &Name, now: Millis) -> Option<Arc<Server>> {
        let index = self.index.read();
        let group = index.groups.get(&(pool.clone(), version.clone()))?;
        let mut rng = fastrand::Rng::new();
        let best = backend::pick(&group.used, &group.spare, now, &mut rng);
        let has_room =
            best.is_some_and(|best| !best.load().must_spill(now) && !best.failed_lately(now));
        let best = if has_room {
            best
        } else {
            backend::pick(
                best.map_or(&[], std::slice::from_ref),
                &group.remote,
                now,
                &mut rng,
            )
        };
        best.cloned()
    }

    /// All servers.
    pub(crate) fn all(&self) -> Vec<Arc<Server>> {
        self.index.read().by_name.values().cloned().collect()
    }

    /// Slots of all servers of a pool that take work, as far as they reported.
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

    /// Servers for a suspect: those that are sound, the least loaded first.
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
        let sound = |server: &&Arc<Server>| server.takes_work(now) && !server.failed_lately(now);
        let mut servers: Vec<Arc<Server>> = group.all().filter(sound).cloned().collect();
        servers.sort_by(|left, right| {
            left.load()
                .score(0.0, now)
                .total_cmp(&right.load().score(0.0, now))
        });
        servers
    }

    /// What the servers of a pool have loaded, as far as they reported and take work.
    pub(crate) fn loaded_versions(&self, pool: &Name) -> Vec<Loaded> {
        let index = self.index.read();
        let Some(group) = index.groups.get(&(pool.clone(), "".into())) else {
            return Vec::new();
        };
        let report = |server: &Arc<Server>| {
            let state = server.state.lock();
            let has_reported = state.load.slots > 0 && state.leaving_since.is_none();
            has_reported.then(|| Loaded {
                server: server.name.clone(),
                versions: state.versions.clone(),
            })
        };
        group.all().filter_map(report).collect()
    }

    /// The server of this name.
    pub(crate) fn get(&self, name: &str) -> Option<Arc<Server>> {
        self.index.read().by_name.get(name).cloned()
    }

    /// All servers of a pool.
    pub(crate) fn in_pool(&self, pool: &Name) -> Vec<Arc<Server>> {
        let index = self.index.read();
        let group = index.groups.get(&(pool.clone(), "".into()));
        group.map_or_else(Vec::new, |group| group.all().cloned().collect())
    }

    /// Servers that are left alone because they leave, and how long ago that was known.
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

    /// Takes in which servers told a peer that they leave.
    pub(crate) fn merge_leaving(&self, leaving: &[(Name, Duration)], now: Millis) {
        let index = self.index.read();
        for (name, age) in leaving {
            let Some(server) = index.by_name.get(name) else {
                continue;
            };
            let said_at = Millis(now.0.saturating_sub(age.as_millis() as u64));
            let mut state = server.state.lock();
            // A report that this host took in later goes before a peer's word.
            if said_at > state.load.reported_at
                && state.leaving_since.is_none_or(|since| since < said_at)
            {
                state.leaving_since = Some(said_at);
                state.leaving_until = state.leaving_until.max(said_at.after(AVOID_LEAVING));
            }
        }
    }

    /// The server to ask for a report in this round: of those that this host uses, of the zone's
    /// others, or of other zones, the one that was not asked for the longest time.
    pub(crate) fn next_probe(&self, round: usize) -> Option<Arc<Server>> {
        let index = self.index.read();
        let first = PROBE_ORDER[round % PROBE_ORDER.len()];
        let kinds = [first, Kind::Used, Kind::Spare, Kind::Remote];
        let oldest = |kind| {
            index
                .of_kind(kind)
                .min_by_key(|server| server.probed_at())
                .cloned()
        };
        kinds.into_iter().find_map(oldest)
    }
}
