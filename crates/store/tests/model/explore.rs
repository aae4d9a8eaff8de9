//! Explores every state of a model up to a depth.

use super::system::{InFlight, System};
use stateright::{Checker, Model};
use std::fmt::Debug;

/// An action that may be the delivery of a message.
pub trait Action: Clone + Debug + PartialEq {
    /// The index of the message that is delivered.
    fn delivered(&self) -> Option<usize>;
}

/// The result of an exploration.
#[derive(Debug)]
pub struct Exploration {
    /// Names of violated `always` properties and satisfied `sometimes` properties, in alphabetical order.
    pub discoveries: Vec<&'static str>,
    /// Number of visited states.
    pub states: usize,
}

/// Explores a model up to a depth. Prints the number of states and a trace to each of `violations` that was found.
pub fn explore<M>(model: M, depth: usize, violations: &[&'static str]) -> Exploration
where
    M: Model<State = System> + Send + Sync + 'static,
    M::Action: Action,
{
    let checker = model.checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    let states = checker.unique_state_count();
    println!("{}: states={states} depth={}", std::any::type_name::<M>(), checker.max_depth());
    let found = checker.discoveries();
    for name in violations {
        let trace = found.get(name).map(|path| path.clone().into_vec()).unwrap_or_default();
        for (system, action) in trace {
            let Some(action) = action else { break };
            match action.delivered() {
                Some(index) => print_delivery(&system.in_flight[index]),
                None => println!("  {action:?}"),
            }
        }
    }
    let mut discoveries: Vec<&str> = found.into_keys().collect();
    discoveries.sort_unstable();
    Exploration { discoveries, states }
}

fn print_delivery(message: &InFlight) {
    let InFlight { to, envelope } = message;
    println!("  {} to {to}: {:?}", envelope.from.ip, envelope.message);
}
