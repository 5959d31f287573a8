//! What a process takes from its VM, as seen from outside: memory and descriptors.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

/// Pause between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Bytes in a MiB.
pub(crate) const MIB: u64 = 1 << 20;
/// State of a listening socket in the kernel's table of TCP sockets, in hexadecimal.
const LISTENING: &str = "0A";

/// The most that a process took while it was watched.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Peak {
    /// Resident memory, and bytes that wait unread in the sockets of its listeners.
    pub(crate) bytes: u64,
    /// The unread bytes alone.
    pub(crate) unread: u64,
    /// Open files and sockets.
    pub(crate) descriptors: usize,
}

/// Samples a process from a thread of its own.
#[derive(Debug)]
pub(crate) struct Monitor {
    pid: u32,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Peak>,
}

impl Monitor {
    /// Starts to watch the process `pid`, which listens at `listeners`.
    pub(crate) fn start(pid: u32, listeners: Vec<SocketAddr>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            let listeners: Vec<String> = listeners.iter().map(table_address).collect();
            let mut peak = Peak::default();
            while !stopped.load(Ordering::Relaxed) {
                let unread = unread_bytes(&listeners);
                peak.unread = peak.unread.max(unread);
                peak.bytes = peak.bytes.max(status_bytes(pid, "VmRSS:") + unread);
                peak.descriptors = peak.descriptors.max(descriptors(pid));
                std::thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Self { pid, stop, thread }
    }

    /// Ends the watch; returns the peak, with the kernel's own peak of the resident memory.
    pub(crate) fn finish(self) -> Peak {
        self.stop.store(true, Ordering::Relaxed);
        let mut peak = self.thread.join().expect("the thread does not panic");
        peak.bytes = peak.bytes.max(status_bytes(self.pid, "VmHWM:"));
        peak
    }
}

/// Returns a field of the process's status in bytes; zero once the process has ended.
fn status_bytes(pid: u32, field: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix(field));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}

/// Returns the number of descriptors of a process; zero once it has ended.
fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Returns an IPv4 address in the form of the kernel's table of sockets.
fn table_address(addr: &SocketAddr) -> String {
    let SocketAddr::V4(addr) = addr else {
        unreachable!("the tests listen on IPv4 addresses")
    };
    let ip = u32::from_ne_bytes(addr.ip().octets());
    format!("{ip:08X}:{:04X}", addr.port())
}

/// Returns the bytes that were received at these addresses and not read, also by connections that
/// are not accepted yet.
fn unread_bytes(listeners: &[String]) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let local = fields.next()?;
        let state = fields.nth(1)?;
        let (_, received) = fields.next()?.split_once(':')?;
        let counts = state != LISTENING && listeners.iter().any(|l| l == local);
        counts.then(|| u64::from_str_radix(received, 16).ok())?
    };
    table.lines().filter_map(unread).sum()
}
