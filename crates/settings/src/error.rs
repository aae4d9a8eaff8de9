//! What can be wrong with settings.

use thiserror::Error;

/// Why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is no JSON.
    #[error("settings: {0}")]
    Json(#[source] serde_json::Error),
    /// The text is JSON, and no object.
    #[error("settings: not an object")]
    NotAnObject,
    /// There must be one class and one plan at least.
    #[error("settings: classes and plans are needed")]
    NoClassesOrPlans,
    /// The value of a key can't be used.
    #[error("settings: {path} {problem}")]
    Key {
        /// The key, with dots and brackets: `categories[0].aim-us`.
        path: String,
        /// What is wrong with its value.
        problem: Problem,
    },
}

/// What is wrong with the value of a key.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[non_exhaustive]
pub enum Problem {
    /// Not a finite number of 0 or more.
    #[error("is not a number of 0 or more")]
    NotANumber,
    /// Beyond the range of the type that the decision module has for it.
    #[error("is too large")]
    TooLarge,
    /// Neither `true` nor `false`.
    #[error("is neither true nor false")]
    NotABoolean,
    /// Not one of the strings that this key may have.
    #[error("is not a word known here")]
    UnknownValue,
    /// Not a list.
    #[error("is not a list")]
    NotAList,
    /// Not a string.
    #[error("is not a name")]
    NotAName,
    /// The index of this ingress is beyond their number.
    #[error("is not below balancers")]
    IndexOutOfRange,
    /// No attempt would be allowed.
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
