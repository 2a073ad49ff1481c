//! A backend server of the users' platform that follows a script byte by byte, so that it can break
//! every rule of the protocol.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use socket2::SockRef;

/// A request as it came.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// Method, path and query.
    pub request_line: String,
    /// Headers in lower case, in their order.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
    /// Number of the connection that it came on.
    pub connection: u64,
}

impl ReceivedRequest {
    /// A header's value; empty if it is not there.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }
}

/// What the server does next.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends bytes.
    Send(String),
    /// Waits, and stops if the client leaves meanwhile.
    Wait(Duration),
    /// Resets the connection.
    Reset,
    /// Closes the connection.
    Close,
    /// Stops listening, as a process that crashed.
    Crash,
}

type Script = dyn Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync;

/// A backend server that follows a script.
pub struct ScriptedServer {
    address: SocketAddr,
    script: Box<Script>,
    requests: Mutex<Vec<ReceivedRequest>>,
    disconnects: AtomicUsize,
    connections: AtomicU64,
    is_down: AtomicBool,
    listener: Mutex<Option<TcpListener>>,
}

/// How often a server looks whether its client left.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl ScriptedServer {
    /// Starts at `address`; `script` gets the number of the request on this server.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub fn start(
        address: SocketAddr,
        script: impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let server = Arc::new(Self {
            address,
            script: Box::new(script),
            requests: Mutex::default(),
            disconnects: AtomicUsize::new(0),
            connections: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
            listener: Mutex::new(Some(listener.try_clone()?)),
        });
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener));
        Ok(server)
    }

    /// Requests so far.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().clone()
    }

    /// Requests whose client left before their script ended.
    pub fn disconnects(&self) -> usize {
        self.disconnects.load(Ordering::Relaxed)
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            if self.is_down.load(Ordering::Relaxed) {
                return;
            }
            let number = self.connections.fetch_add(1, Ordering::Relaxed);
            let server = self.clone();
            thread::spawn(move || {
                // A broken connection is one of the faults that the stand-in is for.
                let _ = server.serve(stream, number);
            });
        }
    }

    fn serve(&self, mut stream: TcpStream, connection: u64) -> io::Result<()> {
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
                    Step::Wait(span) => {
                        if !wait_while_connected(&stream, span)? {
                            self.disconnects.fetch_add(1, Ordering::Relaxed);
                            return Ok(());
                        }
                    }
                    Step::Reset => return SockRef::from(&stream).set_linger(Some(Duration::ZERO)),
                    Step::Close => return Ok(()),
                    Step::Crash => {
                        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
                        drop(reader);
                        self.stop_listening();
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    fn stop_listening(&self) {
        self.is_down.store(true, Ordering::Relaxed);
        drop(self.listener.lock().take());
        // Wakes the accepting thread, which drops its listener.
        drop(TcpStream::connect(self.address));
    }
}

/// Waits. Returns whether the client stayed.
fn wait_while_connected(stream: &TcpStream, span: Duration) -> io::Result<bool> {
    let began = Instant::now();
    stream.set_read_timeout(Some(DISCONNECT_POLL_INTERVAL))?;
    let mut byte = [0];
    while began.elapsed() < span {
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

/// A whole signed answer to `received`.
pub fn signed_answer(received: &ReceivedRequest, status: &str, extra: &str, body: &str) -> String {
    let id = received.header("attempt-id");
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\n{extra}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// The head of a signed stream in chunks.
pub fn stream_head(received: &ReceivedRequest, extra: &str) -> String {
    let id = received.header("attempt-id");
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal-{id}\r\n{extra}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// A chunk of a stream.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// An event.
pub fn token_event(id: u64) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

/// The end of a stream in chunks.
pub const LAST_CHUNK: &str = "0\r\n\r\n";
