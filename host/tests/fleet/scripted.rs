//! Scripted backend servers of a fleet, in the test's process.

use std::{net::SocketAddr, sync::Arc};

use clementinearch_border::{HostEntry, HostRole, HostState};
use clementinearch_standins::scripted_server::{ReceivedRequest, ScriptedServer, Step};

use super::{BACKEND_PORT, FIRST_BACKEND_IP, Fleet};

impl Fleet {
    /// Starts a server of `pool` in zone `a` that responds as `script` says.
    pub fn start_scripted(
        &mut self,
        pool: &str,
        script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Arc<ScriptedServer> {
        let number = self.backends.len();
        let address = SocketAddr::new(self.ip(FIRST_BACKEND_IP + number as u8), BACKEND_PORT);
        let server = ScriptedServer::start(address, move |_, received| script(received)).unwrap();
        let entry = HostEntry {
            name: format!("scripted-{number}"),
            role: HostRole::Backend,
            zone: "a".to_owned(),
            address: address.to_string(),
            pool: pool.to_owned(),
            state: HostState::Live,
        };
        self.backends.push((entry, None));
        server
    }
}
