//! What processes spend, as the kernel counts it: processor time, memory, sockets, bytes written, bytes on sockets.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs;
use std::process::Command;

/// One process at one moment.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Usage {
    pub cpu_s: f64,
    pub resident_mb: f64,
    pub sockets: usize,
    pub written_bytes: u64,
}

/// What a process has spent so far; none: it has ended.
pub fn usage(pid: u32) -> Option<Usage> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let io = fs::read_to_string(format!("/proc/{pid}/io")).unwrap_or_default();
    Some(Usage {
        cpu_s: cpu_seconds(pid)?,
        resident_mb: field(&status, "VmRSS:").unwrap_or_default() as f64 / 1024.0,
        sockets: sockets(pid),
        written_bytes: field(&io, "wchar:").unwrap_or_default(),
    })
}

/// Time that all threads of a process have been on a processor.
fn cpu_seconds(pid: u32) -> Option<f64> {
    let tasks = fs::read_dir(format!("/proc/{pid}/task")).ok()?;
    let of_task = |entry: fs::DirEntry| run_time(&fs::read_to_string(entry.path().join("schedstat")).ok()?);
    Some(tasks.flatten().filter_map(of_task).sum())
}

/// The time on a processor (s) in the text of `/proc/PID/task/TASK/schedstat`: nanoseconds, where `/proc/PID/stat` counts
/// hundredths of a second.
pub fn run_time(schedstat: &str) -> Option<f64> {
    let nanoseconds: f64 = schedstat.split_whitespace().next()?.parse().ok()?;
    Some(nanoseconds / 1e9)
}

fn field(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

fn sockets(pid: u32) -> usize {
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else { return 0 };
    let target = |entry: fs::DirEntry| fs::read_link(entry.path()).ok();
    let paths = entries.flatten().filter_map(target);
    paths.filter(|path| path.to_string_lossy().starts_with("socket:")).count()
}

/// The most descriptors that this process may have.
pub fn descriptor_limit() -> usize {
    let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(1024)
}

/// Bytes sent and received on the sockets of each process, by the port at the other end, as `ss` lists them. Empty where
/// there is no `ss`.
pub fn socket_bytes() -> BTreeMap<(u32, u16), (u64, u64)> {
    let listed = Command::new("ss").args(["-tinpHO", "state", "established"]).output();
    let text = listed.map(|output| String::from_utf8_lossy(&output.stdout).into_owned()).unwrap_or_default();
    let mut bytes = BTreeMap::new();
    for line in text.lines() {
        if let Some((pid, port, sent, received)) = socket_line(line) {
            let total: &mut (u64, u64) = bytes.entry((pid, port)).or_default();
            total.0 += sent;
            total.1 += received;
        }
    }
    bytes
}

/// Process, port of the other end, bytes sent and received, of one line of `ss -tinpHO state established`.
pub fn socket_line(line: &str) -> Option<(u32, u16, u64, u64)> {
    let peer = line.split_whitespace().nth(3)?;
    let port = peer.rsplit_once(':')?.1.parse().ok()?;
    let after = |name: &str| {
        let (_, rest) = line.split_once(name)?;
        rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
    };
    let pid = after("pid=")? as u32;
    Some((pid, port, after(" bytes_sent:").unwrap_or(0), after(" bytes_received:").unwrap_or(0)))
}
