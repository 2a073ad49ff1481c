//! Backend server that sends scripted bytes, so that tests can violate the protocol at any point.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use socket2::SockRef;

/// A request as received.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// Request line without the protocol version, such as `GET /path?query`.
    pub request_line: String,
    /// Headers in order, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body as text; invalid UTF-8 is replaced.
    pub body: String,
    /// Number of the connection, in the order of acceptance from zero.
    pub connection: u64,
}

impl ReceivedRequest {
    /// Returns a header's value, by its lower-case name; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }
}

/// A step of a script.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends the text.
    Send(String),
    /// Sends the text again and again until the client closes the connection.
    SendForever(String),
    /// Waits; a disconnect of the client meanwhile ends the connection's script.
    Wait(Duration),
    /// Resets the TCP connection.
    Reset,
    /// Closes the TCP connection.
    Close,
    /// Resets the TCP connection, closes all others and stops listening, like a crashed process.
    Crash,
    /// Stops listening and closes all TCP connections properly, like the kernel for a process that
    /// crashed with nothing left to read.
    CrashCleanly,
    /// Stops listening and leaves the connection open without sending anything, like a crash behind
    /// a link that loses the reset.
    CrashSilently,
}

/// Returns the steps of the response to a request, given its number on this server from zero.
type Script = dyn Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync;

/// A backend server that follows a script.
pub struct ScriptedServer {
    address: SocketAddr,
    script: Box<Script>,
    requests: Mutex<Vec<ReceivedRequest>>,
    disconnects: AtomicUsize,
    connections: AtomicU64,
    is_down: AtomicBool,
    listener: TcpListener,
    /// Thread that accepts connections.
    acceptor: Mutex<Option<JoinHandle<()>>>,
    /// Connections so far; those that have ended are gone.
    streams: Mutex<Vec<Weak<TcpStream>>>,
}

/// Interval at which a waiting server checks whether its client has disconnected.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl ScriptedServer {
    /// Starts a server that listens at `address`, or at any port if that is zero, and responds to
    /// requests as `script` says.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        script: impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let server = Arc::new(Self {
            address: listener.local_addr()?,
            script: Box::new(script),
            requests: Mutex::default(),
            disconnects: AtomicUsize::new(0),
            connections: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
            listener,
            acceptor: Mutex::default(),
            streams: Mutex::default(),
        });
        let accepting = server.clone();
        let acceptor = thread::spawn(move || accepting.accept());
        *server.acceptor.lock() = Some(acceptor);
        Ok(server)
    }

    /// Returns the address at which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests received so far.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().clone()
    }

    /// Returns the number of requests whose client disconnected during a [`Step::Wait`].
    pub fn disconnects(&self) -> usize {
        self.disconnects.load(Ordering::Relaxed)
    }

    fn accept(self: &Arc<Self>) {
        for stream in self.listener.incoming() {
            let Ok(stream) = stream else { return };
            if self.is_down.load(Ordering::Relaxed) {
                return;
            }
            let connection = self.connections.fetch_add(1, Ordering::Relaxed);
            let server = self.clone();
            let stream = Arc::new(stream);
            self.streams.lock().push(Arc::downgrade(&stream));
            thread::spawn(move || {
                // Broken connections are among the faults that the stand-in simulates.
                let _ = server.serve(&stream, connection);
            });
        }
    }

    fn serve(&self, mut stream: &TcpStream, connection: u64) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(mut received) = read_request(&mut reader)? {
            received.connection = connection;
            let number = {
                let mut requests = self.requests.lock();
                requests.push(received.clone());
                requests.len() - 1
            };
            for step in (self.script)(number, &received) {
                match step {
                    Step::Send(bytes) => stream.write_all(bytes.as_bytes())?,
                    Step::SendForever(bytes) => loop {
                        stream.write_all(bytes.as_bytes())?;
                    },
                    Step::Wait(duration) => {
                        if !wait_while_connected(stream, duration)? {
                            self.disconnects.fetch_add(1, Ordering::Relaxed);
                            return Ok(());
                        }
                    }
                    Step::Reset => return SockRef::from(stream).set_linger(Some(Duration::ZERO)),
                    Step::Close => return Ok(()),
                    Step::Crash | Step::CrashCleanly => {
                        if matches!(step, Step::Crash) {
                            SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
                        }
                        self.stop_listening();
                        for other in self.streams.lock().drain(..) {
                            if let Some(other) = other.upgrade()
                                && !std::ptr::eq(&*other, stream)
                            {
                                let _ = other.shutdown(Shutdown::Both);
                            }
                        }
                        return Ok(());
                    }
                    Step::CrashSilently => {
                        self.stop_listening();
                        // Ends once the client has closed the connection.
                        io::copy(&mut reader, &mut io::sink())?;
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    fn stop_listening(&self) {
        self.is_down.store(true, Ordering::Relaxed);
        // Closing it would not be enough: a child process of a parallel test may hold it until exec.
        let _ = SockRef::from(&self.listener).shutdown(Shutdown::Both);
        if let Some(acceptor) = self.acceptor.lock().take() {
            let _ = acceptor.join();
        }
    }
}

/// Waits for `duration` or until the client disconnects; returns whether it is still connected.
fn wait_while_connected(stream: &TcpStream, duration: Duration) -> io::Result<bool> {
    let began = Instant::now();
    stream.set_read_timeout(Some(DISCONNECT_POLL_INTERVAL))?;
    let mut byte = [0];
    while began.elapsed() < duration {
        match stream.peek(&mut byte) {
            Ok(0) => return Ok(false),
            Ok(_) => thread::sleep(DISCONNECT_POLL_INTERVAL),
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) => {}
            Err(_) => return Ok(false),
        }
    }
    stream.set_read_timeout(None)?;
    Ok(true)
}

/// Reads a request; returns `None` at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<ReceivedRequest>> {
    let mut request_line = String::new();
    if reader.read_line(&mut request_line)? == 0 {
        return Ok(None);
    }
    let request_line = request_line
        .trim_end()
        .trim_end_matches(" HTTP/1.1")
        .to_owned();
    let mut headers = Vec::new();
    loop {
        let mut header = String::new();
        reader.read_line(&mut header)?;
        let Some((name, value)) = header.trim_end().split_once(':') else {
            break;
        };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut received = ReceivedRequest {
        request_line,
        headers,
        ..ReceivedRequest::default()
    };
    let length = received.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    received.body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(received))
}

/// Returns a complete response to `received`, signed by the server. `extra` holds more header lines,
/// each ending in `\r\n`.
pub fn signed_response(
    received: &ReceivedRequest,
    status: &str,
    extra: &str,
    body: &str,
) -> String {
    let id = received.header("attempt-id");
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\n{extra}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Returns the head of a signed event stream with chunked encoding; `extra` is as for
/// [`signed_response`].
pub fn stream_head(received: &ReceivedRequest, extra: &str) -> String {
    let id = received.header("attempt-id");
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\n{extra}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// Returns the head of a signed response that ends with its connection: it has neither a length nor
/// chunks.
pub fn unframed_head(received: &ReceivedRequest) -> String {
    let id = received.header("attempt-id");
    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\n\r\n")
}

/// Returns `text` as one chunk of the chunked encoding.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns a server-sent event with this id and a token.
pub fn token_event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

/// Last chunk, which ends a chunked body.
pub const LAST_CHUNK: &str = "0\r\n\r\n";
