//! Warnings and errors that the processes of a system log.

use crate::{Place, System};
use std::collections::{BTreeMap, HashMap};
use violetyoke_rig::process::Process;

/// How many lines of each running process have been looked at.
#[derive(Default)]
pub(super) struct Logs {
    lines_seen: HashMap<Place, usize>,
}

impl Logs {
    /// Warnings of all running processes since the last call.
    pub(super) fn new_warnings(&mut self, system: &mut System) -> Vec<String> {
        let mut warnings = Vec::new();
        for place in system.places() {
            let lines = system.process_mut(place).lines();
            let seen = self.lines_seen.insert(place, lines.len()).unwrap_or(0);
            warnings.extend(warnings_in(place, &lines[seen..]));
        }
        warnings
    }

    /// Warnings of a process that has ended, since the last call. Another one has its place.
    pub(super) fn warnings_of_ended(&mut self, place: Place, ended: &Process) -> Vec<String> {
        let seen = self.lines_seen.remove(&place).unwrap_or(0);
        warnings_in(place, &ended.lines()[seen..])
    }
}

/// Each different warning once, with its number.
fn warnings_in(place: Place, lines: &[String]) -> Vec<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for line in lines.iter().filter(|line| is_warning(line)) {
        *counts.entry(line.trim()).or_default() += 1;
    }
    counts.into_iter().map(|(line, count)| format!("{place} logs {count} times: {line}")).collect()
}

fn is_warning(line: &str) -> bool {
    ["WARN", "ERRO", "CRIT"].iter().any(|level| line.trim_start().starts_with(level))
}
