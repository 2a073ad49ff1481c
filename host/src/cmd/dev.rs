//! `clementinearch dev`: an entry host in one process with an embedded store and stand-ins for
//! backend servers.

use std::{net::SocketAddr, process, sync::Arc, thread};

use clementinearch_border::{HostEntry, HostList, HostRole, HostState as ListedState};
use clementinearch_standins::{
    engine::{Engine, EngineConfig},
    memory_store::MemoryStore,
    service::Service,
    store_server,
};
use clementinearch_storage::{ItemWrite, write_edit};
use tokio::{net::TcpListener, runtime::Builder};

use super::Dev;
use crate::{clock, error::Error, host, settings::Settings, telemetry};

/// Configuration in development mode: two plans, one model in two versions, one service.
const ITEMS: [(&str, &str); 4] = [
    (
        "model/review",
        include_str!("../../../examples/lists/model/review.toml"),
    ),
    (
        "plan/archive",
        include_str!("../../../examples/lists/plan/archive.toml"),
    ),
    (
        "plan/label",
        include_str!("../../../examples/lists/plan/label.toml"),
    ),
    (
        "service/queue",
        include_str!("../../../examples/lists/service/queue.toml"),
    ),
];

const EDIT_ID: &str = "embedded";

/// Offsets of the other ports from the port for callers.
const PEERS_OFFSET: u16 = 1;
const ADMIN_OFFSET: u16 = 2;
const STORE_OFFSET: u16 = 3;

impl Dev {
    /// Runs the entry host with an embedded store and backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error if a port is taken, or if the store, a stand-in or the host can't be started.
    pub(crate) fn run(self) -> Result<(), Error> {
        let at = |offset: u16| SocketAddr::new(self.address.ip(), self.address.port() + offset);
        let settings = Settings::parse("embedded settings", &self.settings_text(&at))
            .map_err(Error::Settings)?;
        let telemetry = telemetry::start(&settings)?;
        let store = Arc::new(MemoryStore::new());
        let writes = ITEMS.map(|(item, text)| ItemWrite {
            item: item.to_owned(),
            text: Some(text.to_owned()),
            expected: None,
        });
        write_edit(&*store, EDIT_ID, &writes, clock::now())
            .map_err(|e| Error::Embedded(e.to_string()))?;
        let _store_server = store_server::serve(store.clone(), at(STORE_OFFSET)).map_err(
            Error::io(format!("serve the embedded store at {}", at(STORE_OFFSET))),
        )?;
        store.set_hosts(start_backends(self.address.ip())?);
        println!("callers:   http://{}", self.address);
        println!(
            "operators: http://{} (status, metrics), store {}",
            at(ADMIN_OFFSET),
            at(STORE_OFFSET)
        );
        println!("try:");
        println!(
            "  curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer archive-key' \\",
            self.address
        );
        println!(
            "    -d '{{\"model\":\"review\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"side A\"}}]}}'"
        );
        host::run(settings, store.clone(), store, &telemetry)
    }

    fn settings_text(&self, at: &dyn Fn(u16) -> SocketAddr) -> String {
        format!(
            "name = \"dev\"\nzone = \"dev-zone\"\nsession_secret = \"dev-{:032x}\"\n\
             [listen]\ncallers = \"{}\"\npeers = \"{}\"\nadmin = \"{}\"\n\
             [store]\naddress = \"{}\"\n\
             [limits]\ngossip_period_ms = 100\nledger_period_ms = 1000\ndrain_notice_ms = 0\n",
            fastrand::u128(..),
            at(0),
            at(PEERS_OFFSET),
            at(ADMIN_OFFSET),
            at(STORE_OFFSET),
        )
    }
}

/// Starts two model engines and a plain service on free ports, and returns the host list with them.
fn start_backends(ip: std::net::IpAddr) -> Result<HostList, Error> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::io("start the stand-ins"))?;
    let bind = |what: &str| {
        let bound = runtime.block_on(TcpListener::bind((ip, 0)));
        let listener = bound.map_err(Error::io(format!("listen for the embedded {what}")))?;
        let address = listener.local_addr().map_err(Error::io(format!(
            "find the address of the embedded {what}"
        )))?;
        Ok::<_, Error>((listener, address))
    };
    let mut hosts = Vec::new();
    let mut list = |name: &str, pool: &str, address: SocketAddr| {
        hosts.push(HostEntry {
            name: name.to_owned(),
            role: HostRole::Backend,
            zone: "dev-zone".to_owned(),
            address: address.to_string(),
            pool: pool.to_owned(),
            state: ListedState::Live,
        });
    };
    for (name, version) in [
        ("engine-1", "review@2026-10"),
        ("engine-2", "review@2026-11"),
    ] {
        let (listener, address) = bind("model engine")?;
        list(name, "reviewers", address);
        let engine = Engine::new(EngineConfig::new(&[version]), || process::abort());
        runtime.spawn(engine.serve(listener));
    }
    let (listener, address) = bind("plain service")?;
    list("queue-1", "queue", address);
    runtime.spawn(Service::new(true).serve(listener));
    let spawned = thread::Builder::new()
        .name("stand-ins".to_owned())
        .spawn(move || {
            runtime.block_on(std::future::pending::<()>());
        });
    spawned.map_err(Error::io("start the stand-ins"))?;
    Ok(HostList { hosts })
}
