//! Clients of other entry hosts.

use std::{future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use clementinearch_policy::names::{FastMap, Name};
use derive_more::{Display, Error, From};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tarpc::{
    client::RpcError,
    context::{self, Context},
    serde_transport,
    tokio_serde::formats::Bincode,
    tokio_util::codec::LengthDelimitedCodec,
};
use tokio::net::TcpStream;

use crate::{host_state::HostState, peers::counted::CountedStream, peers::protocol::PeerClient};

/// Longest wait for a peer's answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for a call, the sending of its request included.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// Largest message between peers, bytes: a configuration of many items.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// Why a peer gave no answer.
#[derive(Debug, Display, Error, From)]
pub(crate) enum PeerError {
    /// No connection.
    #[display("peer not reached: {_0}")]
    Connect(io::Error),
    /// The call failed.
    #[display("peer did not answer: {_0}")]
    Call(RpcError),
    /// No connection, or no end of the call, in time.
    #[display("peer not reached in time")]
    Timeout,
}

/// Clients of other hosts. Connections within the zone are kept; those to the many hosts of other
/// zones are rarely used and closed after each use.
pub(crate) struct PeerClients {
    state: Arc<HostState>,
    kept: Mutex<FastMap<Name, PeerClient>>,
}

/// A call's context with the deadline for peers.
pub(crate) fn call_context() -> Context {
    let mut cx = context::current();
    cx.deadline = std::time::Instant::now() + PEER_TIMEOUT;
    cx
}

impl PeerClients {
    /// No connection yet.
    pub(crate) fn new(state: Arc<HostState>) -> Self {
        Self {
            state,
            kept: Mutex::default(),
        }
    }

    /// Calls the peer at `address`; a failed call closes the connection.
    pub(crate) async fn call<T, F>(
        &self,
        address: &Name,
        call: impl FnOnce(PeerClient) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = self.connect(address).await?;
        // The call has a deadline of its own; this one also ends a call whose connection takes no bytes.
        let answer = match tokio::time::timeout(CALL_LIMIT, call(client)).await {
            Ok(answer) => answer.map_err(PeerError::from),
            Err(_) => Err(PeerError::Timeout),
        };
        if answer.is_err() {
            self.kept.lock().remove(address);
        }
        answer
    }

    async fn connect(&self, address: &Name) -> Result<PeerClient, PeerError> {
        if let Some(client) = self.kept.lock().get(address) {
            return Ok(client.clone());
        }
        let target: SocketAddr = address
            .parse()
            .map_err(|_| io::Error::other("malformed peer address"))?;
        let connecting = tokio::time::timeout(PEER_TIMEOUT, TcpStream::connect(target));
        let stream = connecting.await.map_err(|_| PeerError::Timeout)??;
        let client = PeerClient::new(tarpc::client::Config::default(), framed(stream)).spawn();
        if self.is_in_zone(address) {
            self.kept.lock().insert(address.clone(), client.clone());
        }
        Ok(client)
    }
}

impl PeerClients {
    fn is_in_zone(&self, address: &Name) -> bool {
        let members = self.state.members.lock();
        members
            .peers()
            .any(|member| member.address == *address && member.zone == self.state.settings.zone)
    }
}

/// Messages in bincode behind their lengths.
pub(crate) fn framed<Item, SinkItem>(stream: TcpStream) -> PeerTransport<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let mut codec = LengthDelimitedCodec::builder();
    codec.max_frame_length(MAX_FRAME_BYTES);
    serde_transport::new(
        codec.new_framed(CountedStream::new(stream)),
        Bincode::default(),
    )
}

pub(crate) type PeerTransport<Item, SinkItem> =
    serde_transport::Transport<CountedStream, Item, SinkItem, Bincode<Item, SinkItem>>;
