//! Warnings and errors that the processes of a system log.

use crate::{ProcessRef, System};
use std::collections::{BTreeMap, HashMap};
use violetyoke_rig::process::Process;

/// The number of lines of each running process that have been checked.
#[derive(Default)]
pub(super) struct Logs {
    lines_seen: HashMap<ProcessRef, usize>,
}

impl Logs {
    /// Warnings of all running processes since the last call.
    pub(super) fn new_warnings(&mut self, system: &mut System) -> Vec<String> {
        let mut warnings = Vec::new();
        for process_ref in system.process_refs() {
            let lines = system.process_mut(process_ref).lines();
            let seen = self.lines_seen.insert(process_ref, lines.len()).unwrap_or(0);
            warnings.extend(warnings_in(process_ref, &lines[seen..]));
        }
        warnings
    }

    /// Warnings of a process that has ended, since the last call. Another process has replaced it.
    pub(super) fn warnings_of_ended(&mut self, process_ref: ProcessRef, ended: &Process) -> Vec<String> {
        let seen = self.lines_seen.remove(&process_ref).unwrap_or(0);
        warnings_in(process_ref, &ended.lines()[seen..])
    }
}

/// Each distinct warning once, with its number of occurrences.
fn warnings_in(process_ref: ProcessRef, lines: &[String]) -> Vec<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for line in lines.iter().filter(|line| is_warning(line)) {
        *counts.entry(line.trim()).or_default() += 1;
    }
    counts.into_iter().map(|(line, count)| format!("{process_ref} logs {count} times: {line}")).collect()
}

fn is_warning(line: &str) -> bool {
    ["WARN", "ERRO", "CRIT"].iter().any(|level| line.trim_start().starts_with(level))
}
