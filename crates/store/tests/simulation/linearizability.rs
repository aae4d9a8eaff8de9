//! Is a history of orders and reads one that a single replica could have given? Each operation must take effect at one
//! moment between its call and its answer; one without a clear answer at any moment after its call, or never.
//!
//! The replica: a configuration with its number, and the set of evacuated zones. The search follows the history and, at
//! each answer, orders as many of the open operations before it as are needed (Wing and Gong, with Lowe's just-in-time
//! linearization). Numbers only grow, so what is left to do of unclear replacements follows from the replica's state.

use super::history::{Answer, Operation};
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_transport::messages::{Command, ControlState};

/// The replica's state; texts are borrowed from the history.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct State<'a> {
    version: u64,
    text: &'a str,
    evacuated: BTreeSet<&'a str>,
}

/// A zone, and whether it is to be emptied.
type Evacuation<'a> = (&'a str, bool);
/// How many of each.
type Evacuations<'a> = BTreeMap<Evacuation<'a>, usize>;

/// One way in which the history may have gone so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Branch<'a> {
    state: State<'a>,
    /// Operations that have taken effect and are not answered yet.
    done: BTreeSet<usize>,
    /// How many of the evacuations without a clear answer have taken effect.
    spent: Evacuations<'a>,
}

/// The answer that no order of operations explains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotLinearizable {
    pub operation: usize,
    pub order: Command,
    pub answer: String,
}

#[derive(Default)]
struct Checker<'a> {
    operations: &'a [Operation],
    /// Operations that are called, not answered yet, and will be.
    open: BTreeSet<usize>,
    unclear_replacements: Vec<(u64, &'a str)>,
    unclear_evacuations: Evacuations<'a>,
    branches: BTreeSet<Branch<'a>>,
}

/// Checks a history that begins with an empty replica.
pub fn check(operations: &[Operation]) -> Result<(), NotLinearizable> {
    let mut events: Vec<(u64, usize, bool)> = Vec::new();
    for (number, operation) in operations.iter().enumerate() {
        events.push((operation.invoked, number, false));
        events.extend(operation.returned.as_ref().map(|(at, _)| (*at, number, true)));
    }
    events.sort_unstable();
    let branches = BTreeSet::from([Branch::default()]);
    let mut checker = Checker { operations, branches, ..Checker::default() };
    for (_, number, answered) in events {
        if !answered {
            checker.call(number);
        } else if !checker.answer(number) {
            let Operation { order, returned, .. } = operations[number].clone();
            let answer = format!("{:?}", returned.map(|(_, answer)| answer));
            return Err(NotLinearizable { operation: number, order, answer });
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
        match &operation.order {
            Command::Replace { version, text } => self.unclear_replacements.push((*version, text)),
            Command::Evacuate { zone, empty } => {
                *self.unclear_evacuations.entry((zone, *empty)).or_default() += 1;
            }
            Command::Read => {}
        }
    }

    /// Keeps the branches in which that operation can have taken effect by now; whether there is one.
    fn answer(&mut self, number: usize) -> bool {
        let branches = std::mem::take(&mut self.branches);
        let mut seen: BTreeSet<Branch<'a>> =
            branches.into_iter().map(|branch| self.with_idle(branch)).collect();
        let mut queue: Vec<Branch<'a>> = seen.iter().cloned().collect();
        let mut kept = BTreeSet::new();
        while let Some(branch) = queue.pop() {
            if branch.done.contains(&number) {
                let mut branch = branch;
                branch.done.remove(&number);
                kept.insert(branch);
                continue;
            }
            for next in self.successors(&branch) {
                let next = self.with_idle(next);
                if seen.insert(next.clone()) {
                    queue.push(next);
                }
            }
        }
        self.open.remove(&number);
        self.branches = self.without_dominated(kept);
        let lowest = self.branches.iter().map(|branch| branch.state.version).min().unwrap_or(0);
        self.unclear_replacements.retain(|(version, _)| *version > lowest);
        !self.branches.is_empty()
    }

    /// Lets each open operation take effect that changes nothing in this state: it never will with more use.
    fn with_idle(&self, mut branch: Branch<'a>) -> Branch<'a> {
        for number in &self.open {
            let operation = &self.operations[*number];
            let idle = !matches!(operation.order, Command::Evacuate { .. });
            if idle && self.after(&branch.state, *number).is_some_and(|state| state == branch.state) {
                branch.done.insert(*number);
            }
        }
        branch
    }

    fn after(&self, state: &State<'a>, number: usize) -> Option<State<'a>> {
        let operation = &self.operations[number];
        let (_, answer) = operation.returned.as_ref()?;
        apply(state, &operation.order, answer)
    }

    /// The branch with one operation more.
    fn successors(&self, branch: &Branch<'a>) -> Vec<Branch<'a>> {
        let mut next = Vec::new();
        let mut orders: Vec<&Command> = Vec::new();
        let mut open: Vec<usize> = self.open.difference(&branch.done).copied().collect();
        // Of equal orders the one that is answered first goes first.
        open.sort_by_key(|number| self.operations[*number].returned.as_ref().map(|(at, _)| *at));
        for number in open {
            let order = &self.operations[number].order;
            let Some(state) = self.after(&branch.state, number) else { continue };
            if orders.contains(&order) {
                continue;
            }
            orders.push(order);
            let mut branch = Branch { state, ..branch.clone() };
            branch.done.insert(number);
            next.push(branch);
        }
        for (version, text) in &self.unclear_replacements {
            if *version > branch.state.version {
                let state = State { version: *version, text, ..branch.state.clone() };
                next.push(Branch { state, ..branch.clone() });
            }
        }
        for (evacuation, count) in &self.unclear_evacuations {
            let spent = branch.spent.get(evacuation).copied().unwrap_or(0);
            let state = evacuate(&branch.state, evacuation.0, evacuation.1);
            if spent < *count && state != branch.state {
                let mut branch = Branch { state, ..branch.clone() };
                branch.spent.insert(*evacuation, spent + 1);
                next.push(branch);
            }
        }
        next
    }

    /// Leaves out each branch that another can follow in all that it does: in the same state, with no evacuation more
    /// that has taken effect without a clear answer, and with no read less.
    fn without_dominated(&self, branches: BTreeSet<Branch<'a>>) -> BTreeSet<Branch<'a>> {
        let evacuation =
            |number: &&usize| matches!(self.operations[**number].order, Command::Evacuate { .. });
        let mut groups: BTreeMap<(State<'a>, BTreeSet<usize>), Vec<Branch<'a>>> = BTreeMap::new();
        for branch in branches {
            let evacuations = branch.done.iter().filter(evacuation).copied().collect();
            let group = groups.entry((branch.state.clone(), evacuations)).or_default();
            if !group.iter().any(|other| dominates(other, &branch)) {
                group.retain(|other| !dominates(&branch, other));
                group.push(branch);
            }
        }
        groups.into_values().flatten().collect()
    }
}

fn dominates(one: &Branch<'_>, other: &Branch<'_>) -> bool {
    fewer(&one.spent, &other.spent) && one.done.is_superset(&other.done)
}

fn evacuate<'a>(state: &State<'a>, zone: &'a str, empty: bool) -> State<'a> {
    let mut state = state.clone();
    if empty {
        state.evacuated.insert(zone);
    } else {
        state.evacuated.remove(zone);
    }
    state
}

/// The state after an order that got this answer; nothing: it can't have got it in this state.
fn apply<'a>(state: &State<'a>, order: &'a Command, answer: &'a Answer) -> Option<State<'a>> {
    match (order, answer) {
        (Command::Replace { version, text }, Answer::Acknowledged) if *version > state.version => {
            Some(State { version: *version, text, ..state.clone() })
        }
        // The number that is in force is acknowledged for its own text alone.
        (Command::Replace { version, text }, Answer::Acknowledged) => {
            (*version < state.version || *text == state.text).then(|| state.clone())
        }
        (Command::Replace { version, text }, Answer::Refused) => {
            let own = *version == state.version && *text == state.text;
            (*version <= state.version && !own).then(|| state.clone())
        }
        (Command::Evacuate { zone, empty }, Answer::Acknowledged) => Some(evacuate(state, zone, *empty)),
        (Command::Read, Answer::Read(held)) => (*state == read(held)).then(|| state.clone()),
        _ => None,
    }
}

fn read(held: &ControlState) -> State<'_> {
    let evacuated = held.evacuated.iter().map(String::as_str).collect();
    State { version: held.version, text: &held.text, evacuated }
}

fn fewer(one: &Evacuations<'_>, other: &Evacuations<'_>) -> bool {
    one.iter().all(|(evacuation, count)| other.get(evacuation).is_some_and(|more| more >= count))
}
