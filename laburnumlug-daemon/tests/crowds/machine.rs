//! What a process takes of its machine, seen from outside.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

pub const MB: usize = 1024 * 1024;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// State of a listening socket in `/proc/net/tcp`.
const LISTENING: &str = "0A";

/// Largest figures of all samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// Resident memory together with the unread bytes of the sockets.
    pub memory: usize,
    pub unread: usize,
    pub descriptors: usize,
}

/// Samples a process until it is stopped.
pub struct Sampler {
    stopping: Arc<AtomicBool>,
    thread: JoinHandle<Peak>,
}

impl Sampler {
    /// Starts sampling a process and the sockets of its listener at `addr`, also those that were not accepted yet.
    pub fn start(pid: u32, addr: SocketAddr) -> Sampler {
        let stopping = Arc::new(AtomicBool::new(false));
        let is_stopping = stopping.clone();
        let thread = std::thread::spawn(move || {
            let mut peak = Peak::default();
            while !is_stopping.load(Ordering::Relaxed) {
                let unread = unread_bytes(addr);
                peak.unread = peak.unread.max(unread);
                peak.memory = peak.memory.max(resident_bytes(pid) + unread);
                peak.descriptors = peak.descriptors.max(descriptors(pid));
                std::thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Sampler { stopping, thread }
    }

    pub fn stop(self) -> Peak {
        self.stopping.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }
}

/// Returns the resident memory of a process, or 0 once it has ended.
fn resident_bytes(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<usize>().ok());
    kilobytes.unwrap_or(0) * 1024
}

fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Returns the bytes that have arrived at connections to `addr` and were not read.
fn unread_bytes(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else {
        panic!("tests listen on IPv4 addresses");
    };
    let ip = u32::from_ne_bytes(addr.ip().octets());
    let local = format!("{ip:08X}:{:04X}", addr.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let sockets = table.lines().map(|line| line.split_whitespace().collect());
    sockets
        .filter(|columns: &Vec<&str>| columns[1] == local && columns[3] != LISTENING)
        .map(|columns| {
            let (_, unread) = columns[4].split_once(':').unwrap();
            usize::from_str_radix(unread, 16).unwrap()
        })
        .sum()
}
