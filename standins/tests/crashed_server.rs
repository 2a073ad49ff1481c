//! A scripted server that crashes is gone at once, whatever else the process does.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    process::Command,
    thread,
};

use clementinearch_standins::scripted_server::{ScriptedServer, Step};

const SPAWNERS: usize = 4;

const PROCESSES: usize = 250;

/// Sends a request that crashes the server at `address`, and returns how the next connection fails.
fn crash_server(address: SocketAddr) -> Option<ErrorKind> {
    let mut stream = TcpStream::connect(address).unwrap();
    let _ = stream.write_all(b"GET / HTTP/1.1\r\ncontent-length: 0\r\n\r\n");
    let _ = stream.read(&mut [0]);
    TcpStream::connect(address).err().map(|e| e.kind())
}

fn spawn_processes() {
    for _ in 0..PROCESSES {
        let status = Command::new("true").status();
        assert!(status.unwrap().success());
    }
}

/// Between fork and exec, a child process holds the sockets of its parent.
#[test]
fn a_crashed_server_refuses_connections_while_processes_start() {
    let spawners: Vec<_> = (0..SPAWNERS)
        .map(|_| thread::spawn(spawn_processes))
        .collect();
    while !spawners.iter().all(thread::JoinHandle::is_finished) {
        let any_port = (Ipv4Addr::LOCALHOST, 0).into();
        let server = ScriptedServer::start(any_port, |_, _| vec![Step::Crash]).unwrap();
        let outcome = crash_server(server.address());
        assert_eq!(outcome, Some(ErrorKind::ConnectionRefused));
    }
    for spawner in spawners {
        spawner.join().unwrap();
    }
}
