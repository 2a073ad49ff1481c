//! The data path inside a process that has a control plane of its own.

use std::{future::Future, io, sync::Arc};

use clementinearch_policy::{
    routes::{CallerLimits, RoutingTable},
    time::Millis,
};
use tokio::{net::TcpListener, sync::mpsc};

use crate::{
    control::Control,
    decision_log::DecisionLog,
    dialect::{Dialect, NoItems},
    host_state::HostState,
    ingress::Ingress,
    settings::Settings,
};

/// A data path whose requests are completed, placed and accounted for by a [`Control`].
pub struct DataPath {
    state: Arc<HostState>,
}

impl DataPath {
    /// A path for callers that keep to `limits`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log's thread cannot be started.
    pub fn new(
        settings: Settings,
        limits: CallerLimits,
        dialect: Arc<dyn Dialect>,
        control: Arc<dyn Control>,
    ) -> io::Result<Self> {
        let log = DecisionLog::start(settings.limits.log_lines_per_s)?;
        // Peers hear of prompts and sessions from the control plane.
        let (gossip, _) = mpsc::unbounded_channel();
        let state = HostState::new(settings, dialect, Arc::new(NoItems), control, log, gossip);
        let table = RoutingTable::new(1, Vec::new(), Vec::new(), limits);
        state.install_table(Arc::new(table));
        Ok(Self {
            state: Arc::new(state),
        })
    }

    /// The present time, as the path's servers know it.
    pub fn now(&self) -> Millis {
        self.state.now()
    }

    /// Serves callers until `stop` resolves, then lets running requests finish for as long as the
    /// settings grant a planned stop. Returns how many connections were still open then.
    pub async fn serve(&self, callers: TcpListener, stop: impl Future<Output = ()>) -> usize {
        let (ingress, drain) = Ingress::new(self.state.clone());
        let accepting = tokio::spawn(ingress.run(callers));
        stop.await;
        accepting.abort();
        let grace = self.state.settings.limits.grace;
        drain.run(self.state.now().after(grace)).await
    }
}
