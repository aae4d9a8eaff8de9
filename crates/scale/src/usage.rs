//! What processes use, as the kernel counts it: processor time, memory, sockets, bytes written, bytes on sockets.

use std::collections::BTreeMap;
use std::fs;
use std::process::Command;

/// What one process has used up to a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Time that its threads have been on a processor (s).
    pub cpu_s: f64,
    /// Resident memory (MB).
    pub resident_mb: f64,
    /// Open sockets.
    pub sockets: usize,
    /// Bytes passed to `write` and its like.
    pub written_bytes: u64,
}

/// What a process has used so far; `None`: it has ended.
#[must_use]
pub fn usage(pid: u32) -> Option<Usage> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let io = fs::read_to_string(format!("/proc/{pid}/io")).unwrap_or_default();
    Some(Usage {
        cpu_s: cpu_seconds(pid)?,
        resident_mb: field(&status, "VmRSS:").unwrap_or_default() as f64 / 1024.0,
        sockets: socket_count(pid),
        written_bytes: field(&io, "wchar:").unwrap_or_default(),
    })
}

/// Time that all threads of a process have been on a processor.
fn cpu_seconds(pid: u32) -> Option<f64> {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).ok()?;
    let of_task = |task: fs::DirEntry| run_time_s(&fs::read_to_string(task.path().join("schedstat")).ok()?);
    Some(tasks.flatten().filter_map(of_task).sum())
}

/// The time on a processor (s) in the text of `/proc/PID/task/TASK/schedstat`: nanoseconds, where `/proc/PID/stat` counts
/// hundredths of a second.
#[must_use]
pub fn run_time_s(schedstat: &str) -> Option<f64> {
    let nanoseconds: f64 = schedstat.split_whitespace().next()?.parse().ok()?;
    Some(nanoseconds / 1e9)
}

fn field(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

fn socket_count(pid: u32) -> usize {
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else { return 0 };
    let target = |entry: fs::DirEntry| fs::read_link(entry.path()).ok();
    let paths = entries.flatten().filter_map(target);
    paths.filter(|path| path.to_string_lossy().starts_with("socket:")).count()
}

/// The most descriptors that this process may have.
#[must_use]
pub fn descriptor_limit() -> usize {
    let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(1024)
}

/// Bytes on one socket, or on several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SocketBytes {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// One established connection, as `ss` lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketLine {
    /// The process that has it.
    pub pid: u32,
    /// The port at the other end.
    pub peer_port: u16,
    /// What went over it.
    pub bytes: SocketBytes,
}

impl SocketLine {
    /// Reads a line of `ss -tinpHO state established`.
    #[must_use]
    pub fn parse(line: &str) -> Option<SocketLine> {
        let peer = line.split_whitespace().nth(3)?;
        let peer_port = peer.rsplit_once(':')?.1.parse().ok()?;
        let number_after = |name: &str| {
            let (_, rest) = line.split_once(name)?;
            rest.split(|sign: char| !sign.is_ascii_digit()).next()?.parse::<u64>().ok()
        };
        let pid = number_after("pid=")? as u32;
        let sent = number_after(" bytes_sent:").unwrap_or(0);
        let received = number_after(" bytes_received:").unwrap_or(0);
        Some(SocketLine { pid, peer_port, bytes: SocketBytes { sent, received } })
    }
}

/// Bytes on the sockets of each process, by the port at the other end. Empty where there is no `ss`.
pub(crate) fn socket_bytes() -> BTreeMap<(u32, u16), SocketBytes> {
    let listed = Command::new("ss").args(["-tinpHO", "state", "established"]).output();
    let text = listed.map(|output| String::from_utf8_lossy(&output.stdout).into_owned()).unwrap_or_default();
    let mut bytes: BTreeMap<(u32, u16), SocketBytes> = BTreeMap::new();
    for line in text.lines().filter_map(SocketLine::parse) {
        let total = bytes.entry((line.pid, line.peer_port)).or_default();
        total.sent += line.bytes.sent;
        total.received += line.bytes.received;
    }
    bytes
}
