//! Network path from one host to one backend server, which tests cut and heal.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

/// State of a [`Link`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes pass both ways.
    #[default]
    Up,
    /// Connections are held, and what they carry waits. New ones are neither accepted nor refused.
    Hanging,
    /// Connections are reset and new ones refused.
    Resetting,
    /// Connections live on and new ones are refused.
    RefusingNew,
}

/// Backlog of a listener that accepts.
const BACKLOG: u32 = 1_024;

/// Connections that fill the accept queue of a listener without a backlog.
const FILLERS: usize = 3;

/// Time for a filler to be accepted by the kernel, and between two tries to listen again.
const RETRY_PERIOD: Duration = Duration::from_millis(20);

/// Size of a pump's buffer, bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// A path that listens at one address and connects to another.
pub struct Link {
    address: SocketAddr,
    target: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl Link {
    /// Starts a link from `address` to `target` that is up.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = listen(address)?;
        let link = Arc::new(Self {
            address,
            target,
            state: watch::Sender::default(),
        });
        tokio::spawn(link.clone().run(listener));
        Ok(link)
    }

    /// Address at which the link listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the state of the link.
    pub fn set_state(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    async fn run(self: Arc<Self>, listener: TcpListener) {
        let mut state = self.state.subscribe();
        let mut listener = Some(listener);
        loop {
            let current = *state.borrow_and_update();
            if matches!(current, LinkState::Resetting | LinkState::RefusingNew) {
                if let Some(bound) = listener.take() {
                    // A child process of a parallel test may hold the descriptor until exec.
                    let _ = SockRef::from(&bound).shutdown(std::net::Shutdown::Both);
                }
                let _ = state.changed().await;
                continue;
            }
            let bound = match listener.take() {
                Some(bound) => bound,
                None => listen_again(self.address).await,
            };
            if current == LinkState::Hanging {
                self.hang(&bound, &mut state).await;
            } else {
                self.accept(&bound, &mut state).await;
            }
            listener = Some(bound);
        }
    }

    /// Accepts connections until the state changes.
    async fn accept(
        self: &Arc<Self>,
        listener: &TcpListener,
        state: &mut watch::Receiver<LinkState>,
    ) {
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        tokio::spawn(self.clone().carry(stream));
                    }
                }
                _ = state.changed() => return,
            }
        }
    }

    /// Keeps the accept queue full until the state changes, so that the kernel drops the packets
    /// that open connections. One that was in the queue before is held like the others.
    async fn hang(&self, listener: &TcpListener, state: &mut watch::Receiver<LinkState>) {
        let _ = SockRef::from(listener).listen(0);
        let mut fillers = Vec::new();
        for _ in 0..FILLERS {
            fillers.push(timeout(RETRY_PERIOD, TcpStream::connect(self.address)).await);
        }
        let _ = state.changed().await;
        let _ = SockRef::from(listener).listen(BACKLOG as i32);
    }

    async fn carry(self: Arc<Self>, mut client: TcpStream) {
        let Ok(mut server) = TcpStream::connect(self.target).await else {
            let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let is_reset = {
            let (client_read, client_write) = client.split();
            let (server_read, server_write) = server.split();
            let mut state = self.state.subscribe();
            tokio::select! {
                _ = state.wait_for(|state| *state == LinkState::Resetting) => true,
                _ = async {
                    tokio::join!(
                        pump(client_read, server_write, self.state.subscribe()),
                        pump(server_read, client_write, self.state.subscribe()),
                    )
                } => false,
            }
        };
        if is_reset {
            for stream in [&client, &server] {
                let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
            }
        }
    }
}

/// Copies bytes until either side closes its connection. While the link hangs, they wait.
async fn pump(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut state: watch::Receiver<LinkState>,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buf).await.unwrap_or(0);
        let is_gone = state
            .wait_for(|state| *state != LinkState::Hanging)
            .await
            .is_err();
        if is_gone || length == 0 {
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buf[..length]).await.is_err() {
            return;
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Listens at an address that was in use a moment ago.
async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = listen(address) {
            return listener;
        }
        sleep(RETRY_PERIOD).await;
    }
}
