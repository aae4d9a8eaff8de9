//! Errors of settings.

use thiserror::Error;

/// Why settings are invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("settings: {0}")]
    Json(#[source] serde_json::Error),
    /// The text is JSON, but not an object.
    #[error("settings: not an object")]
    NotAnObject,
    /// At least one class and one plan are needed.
    #[error("settings: classes and plans are needed")]
    NoClassesOrPlans,
    /// The value of a key is invalid.
    #[error("settings: {path} {problem}")]
    Key {
        /// The path of the key, with dots and brackets: `categories[0].aim-us`.
        path: String,
        /// Why the value is invalid.
        problem: Problem,
    },
}

/// Why the value of a key is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum Problem {
    /// Not a finite number of 0 or more.
    #[error("is not a number of 0 or more")]
    NotANumber,
    /// Out of the range of the decision module's type.
    #[error("is too large")]
    TooLarge,
    /// Neither `true` nor `false`.
    #[error("is neither true nor false")]
    NotABoolean,
    /// Not one of the permitted strings.
    #[error("is not a word known here")]
    UnknownValue,
    /// Not a list.
    #[error("is not a list")]
    NotAList,
    /// Not a string.
    #[error("is not a name")]
    NotAName,
    /// The index of this ingress is not below the number of ingresses.
    #[error("is not below balancers")]
    IndexOutOfRange,
    /// A maximum of 0 attempts would permit no requests.
    #[error("is not 1 or more")]
    Zero,
    /// The latency target of a class is 0, or later than its deadline.
    #[error("has no aim within its deadline")]
    NoTargetWithinDeadline,
    /// A rate limit without a burst would reject every request.
    #[error("has a rate and no peak-units")]
    RateWithoutBurst,
    /// A hard rate limit without a burst would reject every request.
    #[error("has a ceiling-rate and no ceiling-burst")]
    HardLimitWithoutBurst,
}
