//! Readings of processes and of the loopback interface.

#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "each benchmark uses its own part"
)]

use std::fs;

/// Clock ticks of the kernel's process statistics, per second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time that a process has used, in seconds.
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

/// Resident memory of a process, in KiB.
pub fn resident_kib(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Bytes that the loopback interface has sent, headers of TCP and IP included.
pub fn loopback_bytes() -> f64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap();
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("lo:"))
        .unwrap();
    line.split_whitespace().nth(9).unwrap().parse().unwrap()
}
