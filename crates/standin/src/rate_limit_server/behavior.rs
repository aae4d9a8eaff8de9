//! How the server answers calls, and the names of these behaviors on the command line.

use std::str::FromStr;
use std::time::Duration;

/// How the server answers calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behavior {
    /// Counts and answers.
    #[default]
    Answer,
    /// Counts at once, and answers after this time.
    Delay(Duration),
    /// Counts, and never answers.
    Silent,
    /// Answers UNAVAILABLE and counts nothing.
    Error,
    /// Answers with a code that is neither OK nor OVER_LIMIT, and counts nothing.
    UnknownCode,
    /// Admits every call.
    AdmitAll,
    /// Admits no call.
    AdmitNone,
}

/// A text that names no behavior.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownBehavior {
    /// The time of a delay is not a number.
    #[error("{0:?} is no number of milliseconds")]
    Delay(String),
    /// The text is none of the names.
    #[error("{0:?} is none of answer, delay MS, silent, error, garble, lenient, strict")]
    Name(String),
}

impl FromStr for Behavior {
    type Err = UnknownBehavior;

    /// A name, or `delay MILLISECONDS`.
    fn from_str(text: &str) -> Result<Behavior, UnknownBehavior> {
        if let Some(time) = text.strip_prefix("delay ") {
            let time = time.trim();
            let ms = time.parse().map_err(|_| UnknownBehavior::Delay(time.to_string()))?;
            return Ok(Behavior::Delay(Duration::from_millis(ms)));
        }
        match text {
            "answer" => Ok(Behavior::Answer),
            "silent" => Ok(Behavior::Silent),
            "error" => Ok(Behavior::Error),
            "garble" => Ok(Behavior::UnknownCode),
            "lenient" => Ok(Behavior::AdmitAll),
            "strict" => Ok(Behavior::AdmitNone),
            _ => Err(UnknownBehavior::Name(text.to_string())),
        }
    }
}
