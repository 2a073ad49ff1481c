//! Requests to tell peers at once what this host has learned. The gossip controller carries them out.

use std::time::Duration;

use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

/// Longest wait until peers have heard an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(300);

/// Receives requests for announcements; each is answered once peers have heard it.
pub(crate) type AnnouncementRequests = mpsc::UnboundedReceiver<oneshot::Sender<()>>;

/// Asks the gossip controller for announcements.
pub(crate) struct Announcements {
    requests: mpsc::UnboundedSender<oneshot::Sender<()>>,
}

impl Announcements {
    /// Creates both ends.
    pub(crate) fn new() -> (Self, AnnouncementRequests) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self { requests: tx }, rx)
    }

    /// Tells peers what this host knows. Returns when they have heard it, or after
    /// [`ANNOUNCE_TIMEOUT`].
    pub(crate) async fn announce(&self) {
        let (done, heard) = oneshot::channel();
        // Nobody receives it once the host has stopped.
        if self.requests.send(done).is_ok() {
            let _ = timeout(ANNOUNCE_TIMEOUT, heard).await;
        }
    }
}
