//! Whether a host reaches any backend server.
//!
//! A server that accepts no connection may be down itself. A host that gets no connection to a
//! sample of servers across services and zones has lost its path to all of them, however its open
//! connections behave. Every later connection that is accepted ends that.
//!
//! A host whose own link is full gets no connection in time either. Therefore several samples must
//! fail, and while bytes arrive from servers, connections that only wait tell nothing for a while.

use std::time::Duration;

use crate::{names::Name, time::Millis};

/// Most servers that are tried in one check: few enough for hundreds of hosts and servers, and
/// enough that those of one service or zone alone do not decide.
pub const SAMPLE_SIZE: usize = 6;

/// Time between two checks of a lost path.
pub const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Samples that must fail before the path is taken for lost.
pub const SAMPLES: u32 = 3;

/// Time from one sample of a check to the next, unless all servers have refused by then.
pub const SAMPLE_PERIOD: Duration = Duration::from_millis(200);

/// Time limit for each connection of a sample. The servers of the first one have longer than those
/// of any usual connection.
pub const SAMPLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time from the first failed check after which bytes from servers no longer speak for the path: new
/// requests need new connections.
const MAX_DOUBT: Duration = Duration::from_secs(2);

/// A check in which no server accepted a connection.
#[derive(Clone, Copy, Debug)]
pub struct FailedCheck {
    /// When the check began.
    pub began_at: Millis,
    /// Whether all servers refused, which no full link does.
    pub are_all_refused: bool,
    /// When bytes last came from any server.
    pub last_contact: Millis,
}

/// What a host knows of its path to the backend servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connectivity {
    lost_since: Option<Millis>,
    /// When a server last accepted a connection.
    connected_at: Option<Millis>,
    /// When the first check began that failed while bytes came from servers.
    doubted_since: Option<Millis>,
}

impl Connectivity {
    /// Records that a server accepted a connection at `now`. Returns since when the path had been
    /// lost, if it had.
    pub fn record_connected(&mut self, now: Millis) -> Option<Millis> {
        self.connected_at = Some(now);
        self.doubted_since = None;
        self.lost_since.take()
    }

    /// Records that no server accepted a connection in a check that ends now. Returns whether the
    /// path is lost since now.
    pub fn record_failed_check(&mut self, check: FailedCheck, now: Millis) -> bool {
        // A connection that was accepted meanwhile tells more than the sample.
        let has_connected = self.connected_at.is_some_and(|at| at > check.began_at);
        if self.lost_since.is_some() || has_connected {
            return false;
        }
        let has_contact = !check.are_all_refused && check.last_contact > check.began_at;
        let doubted_since = *self.doubted_since.get_or_insert(check.began_at);
        if has_contact && now.since(doubted_since) < MAX_DOUBT {
            return false;
        }
        self.lost_since = Some(now);
        true
    }

    /// Whether a failed connection that was begun at `began_at` may be the first sign of a lost
    /// path.
    pub fn needs_check(&self, began_at: Millis) -> bool {
        self.lost_since.is_none() && self.connected_at.is_none_or(|at| at <= began_at)
    }

    /// Whether no server is reached.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }
}

/// Returns the indices of up to [`SAMPLE_SIZE`] servers, given the service and zone of each: one of
/// each pair before a second one of any. `offset` varies the choice.
pub fn sample(servers: &[(Name, Name)], offset: usize) -> Vec<usize> {
    let count = servers.len();
    let mut left: Vec<usize> = (0..count).map(|index| (index + offset) % count).collect();
    let mut chosen = Vec::new();
    while !left.is_empty() && chosen.len() < SAMPLE_SIZE {
        let mut pairs = Vec::new();
        let mut rest = Vec::new();
        for index in left {
            if chosen.len() < SAMPLE_SIZE && !pairs.contains(&&servers[index]) {
                pairs.push(&servers[index]);
                chosen.push(index);
            } else {
                rest.push(index);
            }
        }
        left = rest;
    }
    chosen
}
