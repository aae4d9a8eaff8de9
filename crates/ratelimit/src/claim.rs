//! One try, one count. A try that has a name may be asked about through several ingresses and ways; the first to
//! claim it counts it, and the others take over what came of that.
//!
//! The claim is one number on the pool's counter, under a name made of the account, the units and the try's name:
//! what one account says is nothing to another. Whoever meets the try adds its [`Way`] and sees by the total who
//! came before; the one that counted it adds [`LET_IN`] or [`TURNED_AWAY`] when that is decided. From the lowest
//! digits on, the number holds how many asked (two digits), how many requests came (two), and what was decided;
//! all of it fits into the seven digits that totals are exact in.
//!
//! A name is only what a client says, and must not let more through than was counted. So a counted try passes
//! uncounted as one request at most, and as a few questions, which networks repeat; whatever comes more often
//! under one name is counted like a try of its own.
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

/// How a try is met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// A question about it: nothing is sent on by its answer.
    Question,
    /// A request, which is sent on to a node.
    Request,
}

/// What is added for an outcome.
pub const LET_IN: f64 = 10_000.0;
pub const TURNED_AWAY: f64 = 1_000_000.0;
/// What is added for a request; a question adds one.
const REQUEST: f64 = 100.0;
/// Questions about one try that are answered by its first outcome, and requests of it beside which they are.
const MOST_ASKED: f64 = 4.0;
const MOST_REQUESTS: f64 = 2.0;

/// What to add for a claim.
pub fn add(way: Way) -> f64 {
    match way {
        Way::Question => 1.0,
        Way::Request => REQUEST,
    }
}

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
pub fn read(way: Way, total: Option<f64>) -> Standing {
    let Some(total) = total.filter(|total| total.fract() == 0.0 && (add(way)..1e7).contains(total)) else {
        return Standing::Fresh;
    };
    let refused = (total / TURNED_AWAY).floor();
    let let_in = (total % TURNED_AWAY / LET_IN).floor();
    let requests = (total % LET_IN / REQUEST).floor();
    let asked = total % REQUEST;
    let may_pass = match way {
        // This one is the first request that comes.
        Way::Request => requests == 1.0,
        Way::Question => (1.0..=MOST_ASKED).contains(&asked) && requests <= MOST_REQUESTS,
    };
    match (let_in > 0.0, refused > 0.0) {
        (true, _) if may_pass => Standing::Counted,
        (false, true) => Standing::Refused,
        _ => Standing::Fresh,
    }
}

/// What has come of a request or a question that is for its ingress to decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decided {
    /// The module lets it pass: it is sent for the first time, or its question is answered.
    Passes,
    /// The module refuses it, with the time after which its quota has room (0: that is not why).
    Refused { sent_before: bool, retry_after: u64 },
}

/// The outcome that is told to others who ask about the try; none: that is no word on the try, which stays fresh
/// for them. Want of a node refuses a request and says nothing of its quota, and one that was sent has passed.
pub fn told(decided: Decided) -> Option<bool> {
    match decided {
        Decided::Passes => Some(true),
        Decided::Refused { sent_before: false, retry_after } if retry_after > 0 => Some(false),
        Decided::Refused { .. } => None,
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
