//! Random lists of faults, and the minimization of a failing list, both by proptest: a seed gives the same on every machine.

use proptest::prelude::*;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// A fault and its parameters. Shards and ingresses are numbers modulo how many there are.
///
/// The variants' names are printed by `cargo xtask prove owners` and are the names of its figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The owner's process is paused between the check of its lease and its action, until a successor has acted.
    StopInAct {
        /// The number of the shard.
        shard: u32,
    },
    /// An action is held in the link to the sink and its owner cut off, until the successor has acted three times.
    HeldAct {
        /// The number of the shard.
        shard: u32,
    },
    /// The same for a write to the control plane's store.
    HeldWrite {
        /// The number of the shard.
        shard: u32,
    },
    /// The worker hangs while its process answers everything else.
    Hang {
        /// The number of the shard.
        shard: u32,
    },
    /// Calls from the owner to the control plane do not arrive; responses would.
    SilentUp {
        /// The number of the shard.
        shard: u32,
    },
    /// Responses from the control plane to the owner do not arrive; calls do.
    SilentDown {
        /// The number of the shard.
        shard: u32,
    },
    /// Responses arrive late and all together, after calls have been held for a while.
    LateAnswers {
        /// The number of the shard.
        shard: u32,
    },
    /// Each call to the control plane takes nearly the duration of a lease.
    Slow {
        /// The number of the shard.
        shard: u32,
    },
    /// The owner is killed, and restarted once a successor has acted.
    Kill {
        /// The number of the shard.
        shard: u32,
    },
    /// The owner and the control plane are killed together, and the control plane is restarted.
    KillBoth {
        /// The number of the shard.
        shard: u32,
    },
    /// The owner gets SIGTERM in the middle of its work, and is restarted.
    Drain {
        /// The number of the shard.
        shard: u32,
    },
    /// An operator moves the shard to another ingress.
    HandOver {
        /// The number of the shard.
        shard: u32,
        /// The number of the new owner among the other ingresses.
        to: u32,
    },
    /// The control plane's wall clock is wrong by this many milliseconds from now on.
    Clock {
        /// Milliseconds that the clock is ahead.
        by: i64,
    },
    /// The control plane's store is replaced by an old backup.
    PutBack,
    /// All ingresses are cut off from the control plane.
    AllCut,
}

/// Every kind of fault with random parameters; the first number is the kind's weight.
fn any_fault() -> impl Strategy<Value = Fault> {
    let shard = 0..64u32;
    prop_oneof![
        3 => shard.clone().prop_map(|shard| Fault::StopInAct { shard }),
        3 => shard.clone().prop_map(|shard| Fault::HeldAct { shard }),
        2 => shard.clone().prop_map(|shard| Fault::HeldWrite { shard }),
        2 => shard.clone().prop_map(|shard| Fault::Hang { shard }),
        1 => shard.clone().prop_map(|shard| Fault::SilentUp { shard }),
        1 => shard.clone().prop_map(|shard| Fault::SilentDown { shard }),
        2 => shard.clone().prop_map(|shard| Fault::LateAnswers { shard }),
        1 => shard.clone().prop_map(|shard| Fault::Slow { shard }),
        2 => shard.clone().prop_map(|shard| Fault::Kill { shard }),
        1 => shard.clone().prop_map(|shard| Fault::KillBoth { shard }),
        2 => shard.clone().prop_map(|shard| Fault::Drain { shard }),
        2 => (shard, 0..64u32).prop_map(|(shard, to)| Fault::HandOver { shard, to }),
        1 => (-2_000..2_000i64).prop_map(|by| Fault::Clock { by }),
        1 => Just(Fault::PutBack),
        1 => Just(Fault::AllCut),
    ]
}

fn seeded_runner(seed: u64) -> TestRunner {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    TestRunner::new_with_rng(Config::default(), rng)
}

/// Draws `length` faults.
pub fn draw(seed: u64, length: usize) -> Vec<Fault> {
    let tree = proptest::collection::vec(any_fault(), length).new_tree(&mut seeded_runner(seed));
    // The strategy rejects no value, so a tree can always be drawn.
    tree.map(|tree| tree.current()).unwrap_or_default()
}

/// Draws at most `length` faults and minimizes the list: returns the shortest list found for which `fails` holds, after at
/// most `attempts` calls of it; the drawn list if none did. `fails` runs a list and says whether the fault shows.
pub fn minimize(
    seed: u64,
    length: usize,
    attempts: usize,
    mut fails: impl FnMut(&[Fault]) -> bool,
) -> Vec<Fault> {
    let Ok(mut tree) = proptest::collection::vec(any_fault(), 0..=length).new_tree(&mut seeded_runner(seed))
    else {
        return Vec::new();
    };
    let mut shortest = tree.current();
    let mut failed = true;
    for _ in 0..attempts {
        let has_changed = if failed { tree.simplify() } else { tree.complicate() };
        if !has_changed {
            break;
        }
        failed = fails(&tree.current());
        if failed {
            shortest = tree.current();
        }
    }
    shortest
}
