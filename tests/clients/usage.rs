//! What the processes of a cell use of their machines, as the kernel counts it.

use std::collections::BTreeMap;
use std::fs;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::cell::Cell;

/// The time from one sample to the next.
const INTERVAL: Duration = Duration::from_millis(25);

/// The largest usage of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Resident memory and what has arrived for the process and is not read yet, in bytes.
    pub memory: u64,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// Returns the resident memory of a process in bytes.
fn resident(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}

/// Returns how many bytes wait in the receive queues of the connections to each address, also of those that the process
/// has not accepted.
fn unread() -> BTreeMap<Ipv4Addr, u64> {
    const ESTABLISHED: &str = "01";
    const CLOSE_WAIT: &str = "08";
    let mut unread = BTreeMap::new();
    for line in fs::read_to_string("/proc/net/tcp").unwrap_or_default().lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let &[_, local, _, state, queues, ..] = fields.as_slice() else { continue };
        if state != ESTABLISHED && state != CLOSE_WAIT {
            continue;
        }
        let ip = local.split(':').next().and_then(|ip| u32::from_str_radix(ip, 16).ok());
        let queue = queues.split(':').nth(1).and_then(|q| u64::from_str_radix(q, 16).ok());
        if let (Some(ip), Some(queue)) = (ip, queue) {
            *unread.entry(Ipv4Addr::from(ip.to_ne_bytes())).or_default() += queue;
        }
    }
    unread
}

fn descriptors(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Records the largest usage of each process of a cell until it is dropped.
pub struct UsageMonitor {
    processes: Vec<(Ipv4Addr, u32)>,
    peaks: Arc<Mutex<Vec<Usage>>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl UsageMonitor {
    pub fn start(cell: &Cell) -> UsageMonitor {
        let processes: Vec<(Ipv4Addr, u32)> =
            cell.nodes.iter().filter_map(|n| Some((n.ip, n.pid()?))).collect();
        let peaks = Arc::new(Mutex::new(vec![Usage::default(); processes.len()]));
        let stop = Arc::new(AtomicBool::default());
        let of_thread = (processes.clone(), peaks.clone(), stop.clone());
        let run = move || {
            let (processes, peaks, stop) = of_thread;
            while !stop.load(Ordering::Relaxed) {
                sample(&processes, &peaks);
                thread::sleep(INTERVAL);
            }
        };
        UsageMonitor { processes, peaks, stop, thread: Some(thread::spawn(run)) }
    }

    /// Returns the largest usage of each process until now, in the order of the cell's instances.
    pub fn peaks(&self) -> Vec<Usage> {
        sample(&self.processes, &self.peaks);
        self.peaks.lock().expect("no thread panicked").clone()
    }
}

/// Raises the peaks to what the processes use now.
fn sample(processes: &[(Ipv4Addr, u32)], peaks: &Mutex<Vec<Usage>>) {
    let unread = unread();
    for (i, (ip, pid)) in processes.iter().enumerate() {
        let memory = resident(*pid) + unread.get(ip).copied().unwrap_or(0);
        let descriptors = descriptors(*pid);
        let mut peaks = peaks.lock().expect("no thread panicked");
        peaks[i].memory = peaks[i].memory.max(memory);
        peaks[i].descriptors = peaks[i].descriptors.max(descriptors);
    }
}

impl Drop for UsageMonitor {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed.
            let _ = thread.join();
        }
    }
}
