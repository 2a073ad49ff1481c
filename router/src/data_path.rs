//! The data path inside a process that has a control plane of its own.

use std::{future::Future, io, sync::Arc};

use clementinearch_policy::{
    routes::{CallerLimits, RoutingTable},
    time::Millis,
};
use tokio::{net::TcpListener, sync::mpsc};

use crate::{
    board::Board,
    decision_log::DecisionLog,
    dialect::{Dialect, EmptySchema},
    hooks::RequestHooks,
    ingress::Ingress,
    settings::Settings,
};

/// A data path whose requests are completed, placed and accounted for by a [`RequestHooks`].
pub struct DataPath {
    board: Arc<Board>,
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
        hooks: Arc<dyn RequestHooks>,
    ) -> io::Result<Self> {
        let log = DecisionLog::start(settings.limits.log_lines_per_s)?;
        // Peers hear of prompts and sessions from the control plane.
        let (news, _) = mpsc::unbounded_channel();
        let board = Board::new(settings, dialect, Arc::new(EmptySchema), hooks, log, news);
        let table = RoutingTable::new(1, Vec::new(), Vec::new(), limits);
        board.offer_table(Arc::new(table));
        Ok(Self {
            board: Arc::new(board),
        })
    }

    /// The present time, as the path's servers know it.
    pub fn now(&self) -> Millis {
        self.board.now()
    }

    /// Serves callers until `stop` resolves, then lets running requests finish for as long as the
    /// settings grant a planned stop. Returns how many connections were still open then.
    pub async fn serve(&self, callers: TcpListener, stop: impl Future<Output = ()>) -> usize {
        let (ingress, drain) = Ingress::new(self.board.clone());
        let accepting = tokio::spawn(ingress.run(callers));
        stop.await;
        accepting.abort();
        let grace = self.board.settings.limits.grace;
        drain.run(self.board.now().after(grace)).await
    }
}
