//! How a holder could be wrong.

/// Ways in which a holder could be wrong, for the proof that each is found out. The program never sets them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Weakness {
    /// Counts from the answer.
    pub from_answer: bool,
    /// Renews whether or not the work goes on.
    pub by_timer: bool,
}
