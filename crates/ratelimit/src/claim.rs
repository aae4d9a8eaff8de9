//! One try, one count. A try that has a name may be asked about through several ingresses and ways; the first to
//! claim it counts it, and the others take over what came of that.
//!
//! The claim is one number on the pool's counter, under a name made of the pool's quota name and the try's. Whoever
//! meets the try adds [`CLAIM`] and sees by the total who came before; the one that counted it adds [`LET_IN`] or
//! [`TURNED_AWAY`] when that is decided. The number so holds how many asked, in the lowest three digits, and what
//! was decided above them; all of it fits into the seven digits that totals are exact in.
//!
//! What is not known lies on the side that keeps the ceiling:
//!
//! - the claim's answer is lost or late: the try counts as new, and may be counted twice;
//! - an earlier claim has no outcome (its ingress died, or has not decided yet): the same;
//! - the outcome's call is lost: later claims find none, and the same;
//! - the number's life is over: the same.
//!
//! So one try is never let in uncounted by its claim, and is counted at most once more for each loss. What one
//! try costs is two calls to the counter.

/// What is added for a claim and for its outcomes.
pub const CLAIM: f64 = 1.0;
pub const LET_IN: f64 = 1_000.0;
pub const TURNED_AWAY: f64 = 1_000_000.0;
/// Claims that one number can hold: more could be taken for an outcome.
const MOST_CLAIMS: f64 = 999.0;
/// Outcomes of each kind that a number can hold within seven digits.
const MOST_OUTCOMES: f64 = 9.0;

/// What a claim's total says of the try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is for this one to count it, and to tell the outcome.
    Fresh,
    /// It was let in and is counted: it passes without being counted again.
    Counted,
    /// It was turned away: it gets the same answer, and nothing is counted.
    Refused,
}

/// Reads the total that a claim came back with; none: no answer, or none in time.
pub fn read(total: Option<f64>) -> Standing {
    let Some(total) = total.filter(|total| total.fract() == 0.0 && *total >= CLAIM) else {
        return Standing::Fresh;
    };
    let refused = (total / TURNED_AWAY).floor();
    let counted = ((total % TURNED_AWAY) / LET_IN).floor();
    let claims = total % LET_IN;
    let sound =
        refused <= MOST_OUTCOMES && counted <= MOST_OUTCOMES && (CLAIM..=MOST_CLAIMS).contains(&claims);
    match (sound, counted > 0.0, refused > 0.0) {
        // Let in once is let in: its units are counted, whatever another one was told.
        (true, true, _) => Standing::Counted,
        (true, false, true) => Standing::Refused,
        _ => Standing::Fresh,
    }
}

/// What to add when the try that was [`Standing::Fresh`] has been decided.
pub fn outcome(let_in: bool) -> f64 {
    if let_in {
        LET_IN
    } else {
        TURNED_AWAY
    }
}
