//! The data path for embedding in a process that has its own control plane.

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

/// A data path that leaves admission, server selection and accounting to [`RequestHooks`].
pub struct DataPath {
    board: Arc<Board>,
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
        // The receiver is dropped: the embedding process tells peers of prompts and sessions itself.
        let (news, _) = mpsc::unbounded_channel();
        let board = Board::new(settings, dialect, Arc::new(EmptySchema), hooks, log, news);
        let table = RoutingTable::new(1, Vec::new(), Vec::new(), limits);
        board.offer_table(Arc::new(table));
        Ok(Self {
            board: Arc::new(board),
        })
    }

    /// The current time on the clock by which the path's servers are judged.
    pub fn now(&self) -> Millis {
        self.board.now()
    }

    /// Serves callers until `stop` resolves, then lets running requests finish within the grace
    /// period of the settings. Returns the number of connections still open at its end.
    pub async fn serve(&self, callers: TcpListener, stop: impl Future<Output = ()>) -> usize {
        let (ingress, drain) = Ingress::new(self.board.clone());
        let accepting = tokio::spawn(ingress.run(callers));
        stop.await;
        accepting.abort();
        let grace = self.board.settings.limits.grace;
        drain.run(self.board.now().after(grace)).await
    }
}
