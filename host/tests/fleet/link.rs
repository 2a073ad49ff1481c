//! A proxy before the peer port of a host, which can simulate a network partition. Peers get the
//! address of the proxy instead of the host's own.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval at which an idle connection checks whether it is cut.
const CUT_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Forwards connections at `from` to `to`. While the returned flag is set, bytes are dropped without
/// an error on either side, as in a network partition.
pub fn start(from: SocketAddr, to: SocketAddr) -> Arc<AtomicBool> {
    let is_cut: Arc<AtomicBool> = Arc::default();
    let listener = TcpListener::bind(from).unwrap();
    let flag = is_cut.clone();
    thread::spawn(move || {
        for client in listener.incoming().map_while(Result::ok) {
            let Ok(server) = TcpStream::connect(to) else {
                continue;
            };
            for (reader, writer) in [(&client, &server), (&server, &client)] {
                let (reader, writer) = (reader.try_clone().unwrap(), writer.try_clone().unwrap());
                let flag = flag.clone();
                thread::spawn(move || forward(reader, writer, &flag));
            }
        }
    });
    is_cut
}

/// Copies bytes in one direction until either side closes the connection.
fn forward(mut reader: TcpStream, mut writer: TcpStream, is_cut: &AtomicBool) {
    reader.set_read_timeout(Some(CUT_CHECK_PERIOD)).unwrap();
    let mut buf = [0; 16 << 10];
    let mut was_cut = false;
    loop {
        was_cut |= is_cut.load(Ordering::Relaxed);
        match reader.read(&mut buf) {
            Ok(0) => break,
            // Bytes of this connection are lost, so it is closed when the partition ends.
            Ok(_) if was_cut => {
                if !is_cut.load(Ordering::Relaxed) {
                    break;
                }
            }
            Ok(count) => {
                if writer.write_all(&buf[..count]).is_err() {
                    break;
                }
            }
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => break,
        }
    }
    let _ = reader.shutdown(Shutdown::Both);
    let _ = writer.shutdown(Shutdown::Both);
}
