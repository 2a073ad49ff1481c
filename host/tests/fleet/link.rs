//! A way to a host that a test can cut: peers are told its address instead of the host's own.

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

/// Time after which a quiet connection looks whether it was cut.
const LOOK: Duration = Duration::from_millis(20);

/// Passes connections at `from` on to `to` while the returned flag is not set. A cut says nothing
/// to either side: bytes get lost, as in a partition.
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
                thread::spawn(move || pass_on(reader, writer, &flag));
            }
        }
    });
    is_cut
}

fn pass_on(mut reader: TcpStream, mut writer: TcpStream, is_cut: &AtomicBool) {
    reader.set_read_timeout(Some(LOOK)).unwrap();
    let mut buf = [0; 16 << 10];
    let mut was_cut = false;
    loop {
        was_cut |= is_cut.load(Ordering::Relaxed);
        match reader.read(&mut buf) {
            Ok(0) => break,
            // What was lost cannot be made good: the connection ends once the cut does.
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
