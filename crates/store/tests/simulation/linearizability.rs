//! Checks that a history of commands and reads is linearizable for a single register: each operation takes effect at
//! one moment between its call and its answer; one without a clear answer takes effect at any moment after its call,
//! or never.
//!
//! The search follows the history and, at each answer, orders as many open operations before it as necessary (Wing
//! and Gong, "Testing and Verifying Concurrent Objects", 1993, with the just-in-time linearization of Lowe, "Testing
//! for Linearizability", 2017). Versions only grow, so the register's state determines which replacements without a
//! clear answer can still take effect.

use super::history::{Operation, Returned};
use super::register_model::{Evacuation, Register};
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_transport::messages::Command;

/// The number of operations for each evacuation.
type Evacuations<'a> = BTreeMap<Evacuation<'a>, usize>;

/// One possible linearization of the history up to the current position.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Branch<'a> {
    register: Register<'a>,
    /// Operations that have taken effect and are not answered yet.
    applied: BTreeSet<usize>,
    /// Evacuations without a clear answer that have taken effect.
    applied_unclear: Evacuations<'a>,
}

/// The first answer that no order of operations explains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotLinearizable {
    pub operation: usize,
    pub command: Command,
    pub answer: String,
}

/// A replacement without a clear answer.
struct UnclearReplacement<'a> {
    version: u64,
    text: &'a str,
}

#[derive(Default)]
struct Checker<'a> {
    operations: &'a [Operation],
    /// Operations that have been called and whose answer comes later in the history.
    open: BTreeSet<usize>,
    unclear_replacements: Vec<UnclearReplacement<'a>>,
    unclear_evacuations: Evacuations<'a>,
    branches: BTreeSet<Branch<'a>>,
}

/// A call or an answer in the history.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    at: u64,
    operation: usize,
    is_answer: bool,
}

/// Checks a history that starts with an empty register.
pub fn check(operations: &[Operation]) -> Result<(), NotLinearizable> {
    let mut positions = Vec::new();
    for (operation, Operation { invoked_at, returned, .. }) in operations.iter().enumerate() {
        positions.push(Position { at: *invoked_at, operation, is_answer: false });
        if let Some(Returned { at, .. }) = returned {
            positions.push(Position { at: *at, operation, is_answer: true });
        }
    }
    positions.sort_unstable();
    let branches = BTreeSet::from([Branch::default()]);
    let mut checker = Checker { operations, branches, ..Checker::default() };
    for Position { operation, is_answer, .. } in positions {
        if !is_answer {
            checker.call(operation);
        } else if !checker.answer(operation) {
            let Operation { command, returned, .. } = operations[operation].clone();
            let answer = format!("{:?}", returned.map(|returned| returned.answer));
            return Err(NotLinearizable { operation, command, answer });
        }
    }
    Ok(())
}

impl<'a> Checker<'a> {
    fn call(&mut self, number: usize) {
        let operation = &self.operations[number];
        if operation.returned.is_some() {
            self.open.insert(number);
            return;
        }
        match &operation.command {
            Command::Replace { version, text } => {
                self.unclear_replacements.push(UnclearReplacement { version: *version, text });
            }
            Command::Evacuate { zone, empty } => {
                let evacuation = Evacuation { zone, empty: *empty };
                *self.unclear_evacuations.entry(evacuation).or_default() += 1;
            }
            Command::Read => {}
        }
    }

    /// Keeps the branches in which the operation can have taken effect before its answer. Returns whether any is left.
    fn answer(&mut self, number: usize) -> bool {
        let branches = std::mem::take(&mut self.branches);
        let mut visited: BTreeSet<Branch<'a>> =
            branches.into_iter().map(|branch| self.with_no_ops_applied(branch)).collect();
        let mut queue: Vec<Branch<'a>> = visited.iter().cloned().collect();
        let mut remaining = BTreeSet::new();
        while let Some(mut branch) = queue.pop() {
            if branch.applied.remove(&number) {
                remaining.insert(branch);
                continue;
            }
            for next in self.successors(&branch) {
                let next = self.with_no_ops_applied(next);
                if visited.insert(next.clone()) {
                    queue.push(next);
                }
            }
        }
        self.open.remove(&number);
        self.branches = self.without_dominated(remaining);
        let lowest = self.branches.iter().map(|branch| branch.register.version).min().unwrap_or(0);
        self.unclear_replacements.retain(|replacement| replacement.version > lowest);
        !self.branches.is_empty()
    }

    /// Applies each open operation that doesn't change the register: applying it later allows no other history.
    fn with_no_ops_applied(&self, mut branch: Branch<'a>) -> Branch<'a> {
        for number in &self.open {
            let is_evacuation = matches!(self.operations[*number].command, Command::Evacuate { .. });
            let changes_nothing =
                || self.after(&branch.register, *number).is_some_and(|after| after == branch.register);
            if !is_evacuation && changes_nothing() {
                branch.applied.insert(*number);
            }
        }
        branch
    }

    fn after(&self, register: &Register<'a>, number: usize) -> Option<Register<'a>> {
        let operation = &self.operations[number];
        register.apply(&operation.command, &operation.returned.as_ref()?.answer)
    }

    /// The branches that follow when one more operation takes effect.
    fn successors(&self, branch: &Branch<'a>) -> Vec<Branch<'a>> {
        let mut next = self.successors_by_open(branch);
        for replacement in &self.unclear_replacements {
            if replacement.version > branch.register.version {
                let register = branch.register.replaced(replacement.version, replacement.text);
                next.push(Branch { register, ..branch.clone() });
            }
        }
        for (evacuation, count) in &self.unclear_evacuations {
            let applied = branch.applied_unclear.get(evacuation).copied().unwrap_or(0);
            let register = branch.register.evacuated(*evacuation);
            if applied < *count && register != branch.register {
                let mut branch = Branch { register, ..branch.clone() };
                branch.applied_unclear.insert(*evacuation, applied + 1);
                next.push(branch);
            }
        }
        next
    }

    /// The branches that follow when one more of the open operations takes effect.
    fn successors_by_open(&self, branch: &Branch<'a>) -> Vec<Branch<'a>> {
        let mut next = Vec::new();
        let mut commands: Vec<&Command> = Vec::new();
        let mut open: Vec<usize> = self.open.difference(&branch.applied).copied().collect();
        // Among equal commands, only the one that is answered first is tried.
        open.sort_by_key(|number| self.operations[*number].returned.as_ref().map(|returned| returned.at));
        for number in open {
            let command = &self.operations[number].command;
            let Some(register) = self.after(&branch.register, number) else { continue };
            if commands.contains(&command) {
                continue;
            }
            commands.push(command);
            let mut branch = Branch { register, ..branch.clone() };
            branch.applied.insert(number);
            next.push(branch);
        }
        next
    }

    /// Drops each branch that another branch dominates: the other has the same state, has used up no more evacuations
    /// without a clear answer, and has applied at least the same reads.
    fn without_dominated(&self, branches: BTreeSet<Branch<'a>>) -> BTreeSet<Branch<'a>> {
        let is_evacuation =
            |number: &&usize| matches!(self.operations[**number].command, Command::Evacuate { .. });
        let mut groups: BTreeMap<(Register<'a>, BTreeSet<usize>), Vec<Branch<'a>>> = BTreeMap::new();
        for branch in branches {
            let evacuations = branch.applied.iter().filter(is_evacuation).copied().collect();
            let group = groups.entry((branch.register.clone(), evacuations)).or_default();
            if !group.iter().any(|other| dominates(other, &branch)) {
                group.retain(|other| !dominates(&branch, other));
                group.push(branch);
            }
        }
        groups.into_values().flatten().collect()
    }
}

fn dominates(one: &Branch<'_>, other: &Branch<'_>) -> bool {
    has_no_more(&one.applied_unclear, &other.applied_unclear) && one.applied.is_superset(&other.applied)
}

fn has_no_more(one: &Evacuations<'_>, other: &Evacuations<'_>) -> bool {
    one.iter().all(|(evacuation, count)| other.get(evacuation).is_some_and(|more| more >= count))
}
