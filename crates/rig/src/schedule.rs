//! Faults drawn from a seed, and a failing list of them cut down to a short one, both by proptest.

use proptest::prelude::*;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// One fault, and what is needed to cause it again. Owners and shards are taken modulo what there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The owner is stopped between its look at its lease and its act, until a successor has acted.
    StopInAct { shard: u32 },
    /// An act sits in the link to the receiver, its owner is cut off; let go after the successor's first three.
    HeldAct { shard: u32 },
    /// The same for a write to the store.
    HeldWrite { shard: u32 },
    /// The worker hangs while its process answers everything else.
    Hang { shard: u32 },
    /// An owner's asks do not come through; answers would.
    SilentUp { shard: u32 },
    /// An owner's answers do not come through; its asks do.
    SilentDown { shard: u32 },
    /// Answers come late, all together, after nothing has gone up for as long.
    LateAnswers { shard: u32 },
    /// Each call takes nearly a length.
    Slow { shard: u32 },
    /// Killed, and started again a while after.
    Kill { shard: u32 },
    /// The owner and the control plane within a second, and the control plane comes back.
    KillBoth { shard: u32 },
    /// SIGTERM to an owner under work, and started again.
    Drain { shard: u32 },
    /// An operator gives a shard to another process.
    HandOver { shard: u32, to: u32 },
    /// The control plane's wall clock is wrong from now on, by that many milliseconds.
    Clock { by: i64 },
    /// The control plane's store is put back as it was some faults ago.
    PutBack,
    /// All are cut off from the control plane.
    AllCut,
}

/// All kinds, with numbers drawn.
fn fault() -> impl Strategy<Value = Fault> {
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

fn runner(seed: u64) -> TestRunner {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    TestRunner::new_with_rng(Config::default(), rng)
}

/// So many faults: the same for a seed, on every machine.
pub fn draw(seed: u64, length: usize) -> Vec<Fault> {
    let list = proptest::collection::vec(fault(), length).new_tree(&mut runner(seed));
    list.map(|tree| tree.current()).unwrap_or_default()
}

/// A shorter list that still fails, found with at most so many tries; `fails` plays one.
pub fn shrink(seed: u64, length: usize, tries: usize, mut fails: impl FnMut(&[Fault]) -> bool) -> Vec<Fault> {
    let Ok(mut tree) = proptest::collection::vec(fault(), 0..=length).new_tree(&mut runner(seed)) else {
        return Vec::new();
    };
    let mut best = tree.current();
    let mut failed = true;
    for _ in 0..tries {
        let moved = if failed { tree.simplify() } else { tree.complicate() };
        if !moved {
            break;
        }
        failed = fails(&tree.current());
        if failed {
            best = tree.current();
        }
    }
    best
}
