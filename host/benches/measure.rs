//! Measurements of processes and of the loopback interface, read from `/proc`.

#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "shared by several benchmarks, each of which uses a part"
)]

use std::fs;

/// Clock ticks per second in the kernel's process statistics.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the processor time that a process has used, in seconds.
pub fn cpu_seconds(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = text
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
    ticks / TICKS_PER_SECOND
}

/// Returns the resident memory of a process, in KiB.
pub fn resident_kib(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Returns the bytes that the loopback interface has sent, including TCP and IP headers.
pub fn loopback_bytes() -> f64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap();
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"))
        .unwrap();
    line.split_whitespace().nth(9).unwrap().parse().unwrap()
}
