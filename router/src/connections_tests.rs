//! Bytes that come on a connection to a backend server before the request.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use hyper::Request;
use socket2::SockRef;
use tokio::time::timeout;

use crate::connections::{Connection, SendOutcome, connect};

const REFUSAL: &str = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
/// Time after which a request counts as sent: the server does not answer it.
const HANG_TIMEOUT: Duration = Duration::from_secs(1);

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// What a server does before the request is sent.
#[derive(Clone, Copy, Debug)]
enum Early {
    Send(&'static str),
    Close,
    Reset,
}

const ALL: [Early; 6] = [
    Early::Send(REFUSAL),
    Early::Send(OK),
    Early::Send("\r\n"),
    Early::Send("H"),
    Early::Close,
    Early::Reset,
];

impl Early {
    fn act(self, server: TcpStream) -> Option<TcpStream> {
        match self {
            Self::Send(text) => {
                (&server).write_all(text.as_bytes()).unwrap();
                return Some(server);
            }
            Self::Close => {}
            Self::Reset => SockRef::from(&server)
                .set_linger(Some(Duration::ZERO))
                .unwrap(),
        }
        None
    }
}

fn request() -> Request<http_body_util::Full<hyper::body::Bytes>> {
    Request::new("x".into())
}

/// Reads one request and responds to it.
fn serve_one(mut server: &TcpStream) {
    let mut buf = [0; 1_024];
    assert!(server.read(&mut buf).unwrap() > 0);
    server.write_all(OK.as_bytes()).unwrap();
}

async fn exchange(connection: &mut Connection, server: TcpStream) -> TcpStream {
    let serving = thread::spawn(move || {
        serve_one(&server);
        server
    });
    let SendOutcome::Response(response) = connection.send(request()).await else {
        panic!("no response")
    };
    let body = http_body_util::BodyExt::collect(response.into_body()).await;
    assert_eq!(body.unwrap().to_bytes(), "ok");
    serving.join().unwrap()
}

/// Number of bytes that reach a server until its client closes the connection.
fn received(server: Option<TcpStream>) -> usize {
    let Some(mut server) = server else { return 0 };
    let mut bytes = Vec::new();
    // A reset by the client ends the connection as well.
    let _ = server.read_to_end(&mut bytes);
    bytes.len()
}

/// The thread of the connection does nothing between the arrival of the bytes and the request, as on
/// a host that is busy, so that only the socket itself knows of them.
#[test]
fn no_request_leaves_on_a_connection_on_which_bytes_came_before_it() {
    let (mut wrong, mut played) = (Vec::new(), 0);
    for early in ALL {
        for earlier_requests in 0..3 {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            let (is_not_sent, server) = runtime.block_on(async {
                let mut connection = connect(address).await.unwrap();
                let mut server = listener.accept().unwrap().0;
                // Otherwise the early bytes would wait for an acknowledgement.
                server.set_nodelay(true).unwrap();
                for _ in 0..earlier_requests {
                    server = exchange(&mut connection, server).await;
                }
                let server = early.act(server);
                thread::sleep(Duration::from_millis(20));
                let sent = timeout(HANG_TIMEOUT, connection.send(request())).await;
                (matches!(sent, Ok(SendOutcome::NotSent)), server)
            });
            // Closes the connection.
            drop(runtime);
            played += 1;
            let bytes = received(server);
            if !is_not_sent || bytes > 0 {
                wrong.push(format!("{early:?} after {earlier_requests}: {bytes} bytes"));
            }
        }
    }
    assert!(
        wrong.is_empty(),
        "{} of {played} wrong: {wrong:#?}",
        wrong.len()
    );
}
