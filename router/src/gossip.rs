//! What entry hosts tell each other: datagrams with advice, each word replaced by the next.
//!
//! A lost datagram costs nothing but a period; nothing here decides what must be agreed on.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use clementinearch_policy::{crash_suspects::SuspectRow, names::Name};
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    time::{Instant, sleep_until},
};

use crate::{
    board::Board,
    fleet::{PEERS_PER_PERIOD, PeerWord},
    news::{News, Reading},
    rollouts::{RolloutWord, SessionWord},
};

/// Largest datagram that is read, bytes.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// Time for which prompts that were sent are gathered before peers are told of them.
const READINGS_PERIOD: Duration = Duration::from_millis(25);

/// Datagrams about prompts that a host sends in a second at most; a larger fleet is told less often.
const READINGS_PER_S: u32 = 600;

/// Prompts, or sessions, that one datagram tells of.
const ROWS_PER_DATAGRAM: usize = 40;

/// A datagram between hosts.
#[derive(Debug, Serialize, Deserialize)]
enum Datagram {
    Word(Box<Word>),
    Readings(Vec<Reading>),
    Sessions(Vec<SessionWord>),
}

/// What a host says of itself and of what it believes.
#[derive(Debug, Serialize, Deserialize)]
struct Word {
    from: Name,
    zone: Name,
    address: SocketAddr,
    store_revision: u64,
    rollouts: Vec<RolloutWord>,
    suspects: Vec<SuspectRow>,
}

/// One host's part in the talk.
pub(crate) struct Gossip {
    board: Arc<Board>,
    socket: UdpSocket,
    news: mpsc::UnboundedReceiver<News>,
    readings: Vec<Reading>,
    sessions: Vec<SessionWord>,
}

impl Gossip {
    /// Tells what comes through `news`, and words in a steady period.
    pub(crate) fn new(
        board: Arc<Board>,
        socket: UdpSocket,
        news: mpsc::UnboundedReceiver<News>,
    ) -> Self {
        Self {
            board,
            socket,
            news,
            readings: Vec::new(),
            sessions: Vec::new(),
        }
    }

    /// Tells peers and hears them, until the process ends.
    pub(crate) async fn run(mut self) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let mut next_word = Instant::now();
        let mut next_news = next_word;
        loop {
            let has_news = !self.readings.is_empty() || !self.sessions.is_empty();
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => {
                    if let Ok((length, _)) = received {
                        hear(&self.board, &buf[..length]);
                    }
                }
                Some(news) = self.news.recv() => self.gather(news),
                () = sleep_until(next_news), if has_news => {
                    next_news = Instant::now() + self.tell_news().await;
                }
                () = sleep_until(next_word) => {
                    next_word = Instant::now() + self.board.settings.limits.gossip_period;
                    self.tell_word().await;
                }
            }
        }
    }

    fn gather(&mut self, news: News) {
        match news {
            News::Reading(reading) => self.readings.push(reading),
            News::Session(session) => self.sessions.push(session),
        }
    }

    /// Tells what was gathered. Returns the time until the next telling.
    async fn tell_news(&mut self) -> Duration {
        let mut peers = self.board.fleet.lock().to_tell(self.board.now());
        for part in std::mem::take(&mut self.sessions).chunks(ROWS_PER_DATAGRAM) {
            // Every host may meet the session next.
            self.send(&Datagram::Sessions(part.to_vec()), &peers).await;
        }
        let period =
            READINGS_PERIOD.max(Duration::from_secs(1) * peers.len() as u32 / READINGS_PER_S);
        peers.truncate(PEERS_PER_PERIOD);
        for part in std::mem::take(&mut self.readings).chunks(ROWS_PER_DATAGRAM) {
            self.send(&Datagram::Readings(part.to_vec()), &peers).await;
        }
        period
    }

    async fn tell_word(&self) {
        let board = &self.board;
        let now = board.now();
        let word = Word {
            from: board.settings.name.clone(),
            zone: board.settings.zone.clone(),
            address: board.settings.listen.peers,
            store_revision: board.view.lock().store_revision(),
            rollouts: board.rollouts.words(now, |service, target| {
                board.running_on_others(service, target)
            }),
            suspects: board.suspects.lock().rows(now),
        };
        let mut peers = board.fleet.lock().to_tell(now);
        peers.truncate(PEERS_PER_PERIOD);
        self.send(&Datagram::Word(Box::new(word)), &peers).await;
    }

    async fn send(&self, datagram: &Datagram, peers: &[SocketAddr]) {
        match serde_json::to_vec(datagram) {
            Ok(bytes) => {
                for peer in peers {
                    // An unreachable peer is told again next time.
                    let _ = self.socket.send_to(&bytes, peer).await;
                }
            }
            Err(e) => self
                .board
                .log_belief("word_not_written", "", &e.to_string(), &[]),
        }
    }
}

fn hear(board: &Board, datagram: &[u8]) {
    let now = board.now();
    match serde_json::from_slice::<Datagram>(datagram) {
        Ok(Datagram::Readings(readings)) => {
            for reading in readings {
                if let Some(server) = board.servers.by_hash(reading.server) {
                    let span = Duration::from_millis(u64::from(reading.ms));
                    server.record_peer_prefill(&reading.shared, reading.size, span, now);
                }
            }
        }
        Ok(Datagram::Sessions(sessions)) => {
            for session in &sessions {
                board.rollouts.hear_session(session, now);
            }
        }
        Ok(Datagram::Word(word)) => hear_word(board, *word),
        Err(e) => board.log_belief("word_unreadable", "", &e.to_string(), &[]),
    }
}

fn hear_word(board: &Board, word: Word) {
    let now = board.now();
    if word.from == board.settings.name {
        return;
    }
    board.rollouts.merge(&word.from, word.rollouts, now);
    board.suspects.lock().merge(&word.suspects, now);
    let peer = PeerWord {
        name: word.from,
        address: word.address,
        zone: word.zone,
        store_revision: word.store_revision,
    };
    board.fleet.lock().hear(peer, now);
}
