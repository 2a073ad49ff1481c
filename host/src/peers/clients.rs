//! Client side of the protocol between entry hosts.

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

/// Timeout for connecting to a peer, and deadline of a call.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a call that also covers sending its request.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest message between peers: a snapshot of a configuration with many items.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// Reason why a call to a peer failed.
#[derive(Debug, Display, Error, From)]
pub(crate) enum PeerError {
    /// The connection could not be made.
    #[display("cannot connect to the peer: {_0}")]
    Connect(io::Error),
    /// The call failed, or its deadline passed.
    #[display("call to the peer failed: {_0}")]
    Call(RpcError),
    /// The connection or the call did not complete within its timeout.
    #[display("peer did not answer within its timeout")]
    Timeout,
}

/// Clients of other entry hosts. Connections within the zone are kept open. Those to the many hosts
/// of other zones are rarely used, so they are closed after each call.
pub(crate) struct PeerClients {
    state: Arc<HostState>,
    /// Clients with an open connection, by address.
    connected: Mutex<FastMap<Name, PeerClient>>,
}

/// Returns the context of a call that starts now, with its deadline.
pub(crate) fn call_context() -> Context {
    let mut cx = context::current();
    cx.deadline = std::time::Instant::now() + PEER_TIMEOUT;
    cx
}

impl PeerClients {
    /// Creates clients without connections.
    pub(crate) fn new(state: Arc<HostState>) -> Self {
        Self {
            state,
            connected: Mutex::default(),
        }
    }

    /// Calls the peer at `address`.
    ///
    /// # Errors
    ///
    /// Returns why there is no reply. The peer may have executed the call; its connection is closed.
    pub(crate) async fn call<T, F>(
        &self,
        address: &Name,
        call: impl FnOnce(PeerClient) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = self.connect(address).await?;
        // The call's own deadline does not cover a request that can't be sent because the peer has
        // stopped reading.
        let answer = match tokio::time::timeout(CALL_TIMEOUT, call(client)).await {
            Ok(answer) => answer.map_err(PeerError::from),
            Err(_) => Err(PeerError::Timeout),
        };
        if answer.is_err() {
            self.connected.lock().remove(address);
        }
        answer
    }

    async fn connect(&self, address: &Name) -> Result<PeerClient, PeerError> {
        if let Some(client) = self.connected.lock().get(address) {
            return Ok(client.clone());
        }
        let target: SocketAddr = address
            .parse()
            .map_err(|_| io::Error::other("malformed peer address"))?;
        let connection = tokio::time::timeout(PEER_TIMEOUT, TcpStream::connect(target));
        let stream = connection.await.map_err(|_| PeerError::Timeout)??;
        let client = PeerClient::new(tarpc::client::Config::default(), framed(stream)).spawn();
        if self.is_in_zone(address) {
            self.connected
                .lock()
                .insert(address.clone(), client.clone());
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

/// Wraps a stream in a transport of length-delimited bincode messages.
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

/// Transport between entry hosts.
pub(crate) type PeerTransport<Item, SinkItem> =
    serde_transport::Transport<CountedStream, Item, SinkItem, Bincode<Item, SinkItem>>;
