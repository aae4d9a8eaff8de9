//! What is due when, and chance.

use violetyoke_transport::messages::Envelope;

/// Chance: the same for the same seed.
#[derive(Clone, Debug)]
pub struct Chance(pub u64);

impl Chance {
    pub fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (x ^ (x >> 31)) % most.max(1)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Envelope {
        to: usize,
        envelope: LetterBox,
    },
    Tick {
        to: usize,
    },
    /// A disk says that it has what it has not.
    Lied {
        to: usize,
        life: u64,
        number: u64,
    },
    Kept {
        to: usize,
        life: u64,
        number: u64,
    },
}

/// Letters have no order of their own: their number is one.
#[derive(Clone, Debug)]
pub struct LetterBox(pub u64, pub Box<Envelope>);

impl PartialEq for LetterBox {
    fn eq(&self, other: &LetterBox) -> bool {
        self.0 == other.0
    }
}
impl Eq for LetterBox {}
impl PartialOrd for LetterBox {
    fn partial_cmp(&self, other: &LetterBox) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for LetterBox {
    fn cmp(&self, other: &LetterBox) -> std::cmp::Ordering {
        self.0.cmp(&other.0)
    }
}
