//! The data path for embedding in a process that has its own control plane.

use std::{future::Future, io, sync::Arc};

use clementinearch_policy::{
    routes::{CallerLimits, RoutingTable},
    time::Millis,
};
use tokio::{net::TcpListener, sync::mpsc};

use crate::{
    decision_log::DecisionLog,
    dialect::{Dialect, EmptySchema},
    hooks::RequestHooks,
    host_state::HostState,
    ingress::Ingress,
    loop_stalls,
    settings::Settings,
};

/// A data path that leaves admission, server selection and accounting to [`RequestHooks`].
pub struct DataPath {
    state: Arc<HostState>,
}

impl DataPath {
    /// Creates a data path that enforces `limits` on callers.
    ///
    /// # Errors
    ///
    /// Returns an error if the log's writer thread cannot be started.
    pub fn new(
        settings: Settings,
        limits: CallerLimits,
        dialect: Arc<dyn Dialect>,
        hooks: Arc<dyn RequestHooks>,
    ) -> io::Result<Self> {
        let log = DecisionLog::start(settings.limits.log_lines_per_s)?;
        // The receiver is dropped: the embedding process informs peers of prompts and sessions
        // itself.
        let (gossip, _) = mpsc::unbounded_channel();
        let state = HostState::new(settings, dialect, Arc::new(EmptySchema), hooks, log, gossip);
        let table = RoutingTable::new(1, Vec::new(), Vec::new(), limits);
        state.install_table(Arc::new(table));
        Ok(Self {
            state: Arc::new(state),
        })
    }

    /// Returns the current time on the data path's clock.
    pub fn now(&self) -> Millis {
        self.state.now()
    }

    /// Serves callers until `stop` resolves, then lets running requests finish within the grace
    /// period of the settings. Returns the number of connections still open at its end.
    pub async fn serve(&self, callers: TcpListener, stop: impl Future<Output = ()>) -> usize {
        let (ingress, drain) = Ingress::new(self.state.clone());
        let accepting = tokio::spawn(async move { ingress.run(&callers).await });
        let watching = tokio::spawn(loop_stalls::watch(self.state.clone()));
        stop.await;
        accepting.abort();
        let grace = self.state.settings.limits.grace;
        let open = drain.run(self.state.now().after(grace)).await;
        watching.abort();
        open
    }
}
