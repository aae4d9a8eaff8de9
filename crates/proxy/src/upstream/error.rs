//! Errors of attempts, and whether the request may have been executed.

use crate::request_body::BodyError;
use std::io;
use violetyoke_api::Execution;
use violetyoke_balancing::Observation;

/// Why an attempt ended without a response that can be forwarded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AttemptError {
    /// The connection could not be established.
    #[error("could not connect to the backend")]
    Connect(#[source] io::Error),
    /// A reused connection broke, and no new connection could be established.
    #[error("the reused connection broke, and no new one could be established")]
    Reconnect(#[source] io::Error),
    /// A reused connection broke, and the request must not be replayed.
    #[error("the reused connection broke")]
    ReusedConnection(#[source] io::Error),
    /// The connection broke, or the response is invalid or belongs to another request.
    #[error("the connection broke, or the response is invalid")]
    Connection(#[source] io::Error),
    /// The deadline passed before the request was sent.
    #[error("the deadline passed before the request was sent")]
    TooLate,
    /// There was no response before the deadline, or the attempt was abandoned for a retry at another
    /// backend.
    #[error("no response in time")]
    TimedOut,
    /// The client's body was too large or incomplete.
    #[error("the client's request body is too large or incomplete")]
    ClientBody(#[source] BodyError),
    /// Another instance responded at the backend's address and did not execute the request.
    #[error("another instance responded at the backend's address")]
    WrongInstance,
    /// The backend rejected the request without executing it.
    #[error("the backend rejected the request")]
    Rejected,
    /// The response has a status by which clients take the request for not executed, but no confirmation of
    /// that.
    #[error("status {0} without confirmation that the request was not executed")]
    UnconfirmedRejection(u16),
    /// A successful response lacks the backend's seal.
    #[error("successful response without a seal")]
    Unsealed,
}

impl AttemptError {
    /// Whether the backend may have executed the request or may still execute it.
    pub(crate) fn execution(&self) -> Execution {
        match self {
            AttemptError::Connect(_)
            | AttemptError::TooLate
            | AttemptError::WrongInstance
            | AttemptError::Rejected => Execution::NotExecuted,
            AttemptError::Reconnect(_)
            | AttemptError::ReusedConnection(_)
            | AttemptError::Connection(_)
            | AttemptError::TimedOut
            | AttemptError::ClientBody(_)
            | AttemptError::UnconfirmedRejection(_)
            | AttemptError::Unsealed => Execution::Unknown,
        }
    }

    /// The observation that the error gives about the backend.
    pub(crate) fn observation(&self) -> Observation {
        match self {
            AttemptError::Connect(_) | AttemptError::Reconnect(_) => Observation::Unreachable,
            // Backends may close an idle connection at any time, and errors of the client are not those of
            // the backend.
            AttemptError::ReusedConnection(_) | AttemptError::ClientBody(_) | AttemptError::TooLate => {
                Observation::Inconclusive
            }
            AttemptError::Connection(_) | AttemptError::UnconfirmedRejection(_) | AttemptError::Unsealed => {
                Observation::Broken
            }
            AttemptError::TimedOut => Observation::TimedOut,
            AttemptError::WrongInstance => Observation::WrongInstance,
            AttemptError::Rejected => Observation::Rejected,
        }
    }
}
