//! What a process costs its machine: memory, bytes in the queues of its sockets, and descriptors.

use crate::background::Background;
use std::collections::HashSet;
use std::fs;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// State of a listening socket in `/proc/net/tcp`, whose queue counts connections instead of bytes.
const LISTENING: &str = "0A";
/// Interval between two readings.
const INTERVAL: Duration = Duration::from_millis(20);

/// What a process costs at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessCost {
    /// Peak of the resident memory since the process began, in bytes.
    pub peak_memory: u64,
    /// Bytes in the receive and send queues of its sockets, also of those that it has closed and the system still holds.
    pub queued: u64,
    /// Number of open descriptors.
    pub descriptors: u64,
}

impl ProcessCost {
    /// Reads the cost of a process. `ports` are the ports that it listens on: they find the sockets that the system
    /// holds for it without a descriptor.
    pub fn read(pid: u32, ports: &[u16]) -> io::Result<ProcessCost> {
        let peak_memory = peak_memory(pid)?;
        let mut descriptors = 0;
        let mut inodes = HashSet::new();
        for entry in fs::read_dir(format!("/proc/{pid}/fd"))? {
            descriptors += 1;
            // A descriptor may be closed while the directory is read.
            let target = fs::read_link(entry?.path()).unwrap_or_default();
            let target = target.to_string_lossy();
            let inode = target.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']'));
            inodes.extend(inode.map(str::to_owned));
        }
        let table = fs::read_to_string(format!("/proc/{pid}/net/tcp"))?;
        let queued = table.lines().skip(1).filter_map(|row| queued_bytes(row, &inodes, ports)).sum();
        Ok(ProcessCost { peak_memory, queued, descriptors })
    }
}

/// Returns the peak of a process's resident memory since it began, in bytes.
///
/// # Errors
///
/// Returns an error if there is no such process, or if the system doesn't tell.
pub fn peak_memory(pid: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak_kb = peak.and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok());
    peak_kb.map(|peak_kb| peak_kb * 1024).ok_or_else(|| io::Error::other("the status has no peak of the memory"))
}

/// Returns the bytes in the queues of the socket in a row of `/proc/net/tcp`, or `None` if the process doesn't own it.
fn queued_bytes(row: &str, inodes: &HashSet<String>, ports: &[u16]) -> Option<u64> {
    let columns: Vec<&str> = row.split_whitespace().collect();
    let (local, state, queues, inode) = (columns.get(1)?, columns.get(3)?, columns.get(4)?, columns.get(9)?);
    let port = u16::from_str_radix(local.rsplit(':').next()?, 16).ok()?;
    if *state == LISTENING || !(ports.contains(&port) || inodes.contains(*inode)) {
        return None;
    }
    let (sent, received) = queues.split_once(':')?;
    Some(u64::from_str_radix(sent, 16).ok()? + u64::from_str_radix(received, 16).ok()?)
}

/// Highest readings so far.
#[derive(Default)]
struct Peaks {
    /// Peak memory and queued bytes of the same reading, added up.
    memory: AtomicU64,
    descriptors: AtomicU64,
}

impl Peaks {
    fn add(&self, cost: ProcessCost) {
        self.memory.fetch_max(cost.peak_memory + cost.queued, Ordering::Relaxed);
        self.descriptors.fetch_max(cost.descriptors, Ordering::Relaxed);
    }
}

/// Reads the cost of a process again and again and keeps the highest figures, until it is dropped.
pub struct CostMeter {
    peaks: Arc<Peaks>,
    _thread: Background,
}

impl CostMeter {
    /// Reads the cost of a process that listens on `ports` once, and starts to read it again and again.
    ///
    /// # Errors
    ///
    /// Returns an error if the cost can't be read.
    pub fn start(pid: u32, ports: Vec<u16>) -> io::Result<CostMeter> {
        let peaks = Arc::new(Peaks::default());
        peaks.add(ProcessCost::read(pid, &ports)?);
        let shared = peaks.clone();
        let read_again = move |stop: &AtomicBool| {
            while !stop.load(Ordering::Relaxed) {
                // The process may have ended, which the test notices by itself.
                if let Ok(cost) = ProcessCost::read(pid, &ports) {
                    shared.add(cost);
                }
                thread::sleep(INTERVAL);
            }
        };
        Ok(CostMeter { peaks, _thread: Background::spawn(read_again) })
    }

    /// Returns the highest sum of peak memory and queued bytes, in bytes.
    pub fn memory(&self) -> u64 {
        self.peaks.memory.load(Ordering::Relaxed)
    }

    /// Returns the highest number of descriptors.
    pub fn descriptors(&self) -> u64 {
        self.peaks.descriptors.load(Ordering::Relaxed)
    }
}
