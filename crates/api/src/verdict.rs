//! Whether a request may have run: what one attempt tells, what several tell together, and the only place where a
//! status is made of it. 408, 421, 429 and 503 promise that a request has not run and never will; 502 and 504 do not.
//!
//! ```
//! use violetyoke_api::verdict::{Ending, Verdict};
//!
//! let turned_away = Verdict::NeverRan;
//! let reset_after_sending = Verdict::MayHaveRun;
//! assert_eq!(turned_away.and(reset_after_sending), Verdict::MayHaveRun);
//! assert_eq!(turned_away.status(Ending::Overload), 503);
//! assert_eq!(reset_after_sending.status(Ending::Overload), 502);
//! assert_eq!(reset_after_sending.status(Ending::TimeUp), 504);
//! assert!(turned_away.may_repeat(false) && !reset_after_sending.may_repeat(false));
//! ```

/// What is known of all attempts at one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// No backend ran it, and none will.
    NeverRan,
    /// It was sent, and nobody said that it did not run.
    MayHaveRun,
}

/// Why a request ends without a backend's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Past its tenant's limit.
    Quota,
    /// Nobody could take it in time, or nobody is known.
    Overload,
    /// Its time was up.
    TimeUp,
}

impl Verdict {
    /// Of two attempts together.
    pub fn and(self, other: Verdict) -> Verdict {
        self.max(other)
    }

    /// Whether another backend may be asked.
    pub fn may_repeat(self, repeatable: bool) -> bool {
        repeatable || self == Verdict::NeverRan
    }

    pub fn status(self, ending: Ending) -> u16 {
        match (self, ending) {
            (Verdict::NeverRan, Ending::Quota) => 429,
            (Verdict::NeverRan, _) => 503,
            (Verdict::MayHaveRun, Ending::TimeUp) => 504,
            (Verdict::MayHaveRun, _) => 502,
        }
    }
}
