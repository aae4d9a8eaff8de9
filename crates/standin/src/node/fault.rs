//! The faults of a node, and their names on the command line.

use std::str::FromStr;

/// How a node fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Declines every request without executing it.
    Decline,
    /// Accepts requests and never responds.
    Hang,
    /// Accepts requests and resets their connections.
    Reset,
    /// Responds with bytes that are not HTTP.
    Spoil,
    /// Executes requests and responds with 500.
    Error,
    /// Resets new connections, as a port without a listener refuses them.
    Closed,
}

/// A name of no fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is none of none, decline, hang, reset, spoil, error, closed")]
pub struct UnknownFault(pub String);

impl FromStr for Fault {
    type Err = UnknownFault;

    fn from_str(text: &str) -> Result<Fault, UnknownFault> {
        Ok(match text {
            "none" => Fault::None,
            "decline" => Fault::Decline,
            "hang" => Fault::Hang,
            "reset" => Fault::Reset,
            "spoil" => Fault::Spoil,
            "error" => Fault::Error,
            "closed" => Fault::Closed,
            _ => return Err(UnknownFault(text.to_string())),
        })
    }
}
