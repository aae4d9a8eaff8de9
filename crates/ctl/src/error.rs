//! Why a verb was not carried out, and the exit status that says so.

use crate::client::NoConclusiveResponse;
use error_stack::Report;
use std::io;
use std::path::PathBuf;
use violetyoke_api::ValidationError;

/// Why a verb was not carried out.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The system has answered that it does not accept this.
    #[error("{status}: {body}")]
    Rejected {
        /// The status of the answer.
        status: u16,
        /// The text of the answer.
        body: String,
    },
    /// A configuration is invalid.
    #[error(transparent)]
    Invalid(#[from] ValidationError),
    /// The version is not above the one in force.
    #[error("it would have no effect")]
    NoEffect,
    /// A store's folder has no state with a correct digest.
    #[error("{}: no state that can be trusted", .0.display())]
    NoTrustedState(PathBuf),
    /// A file or folder can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// Which one.
        path: PathBuf,
        /// What the operating system says.
        source: io::Error,
    },
    /// The command line has no verb.
    #[error("a verb is missing")]
    MissingVerb,
    /// The command line has another first word than a verb.
    #[error("{0}: no such verb")]
    UnknownVerb(String),
    /// The verb needs a second word.
    #[error("a file or a zone is missing")]
    MissingOperand,
    /// The verb needs a registry's address.
    #[error("no --control was given")]
    MissingControlAddress,
    /// The verb needs an edge's address.
    #[error("no --edge was given")]
    MissingEdgeAddress,
    /// The output can't be written.
    #[error(transparent)]
    Output(io::Error),
    /// The output can't be encoded.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
    /// No registry answered conclusively: a change may be in force or may not.
    #[error("{0:?}")]
    Inconclusive(Report<NoConclusiveResponse>),
    /// No edge has reported.
    #[error("no edge gave an answer")]
    NoEdgeReport,
}

impl CommandError {
    /// The exit status of the program.
    #[must_use]
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::Rejected { .. } | Self::Invalid(_) | Self::NoEffect | Self::NoTrustedState(_) => 1,
            Self::Unreadable { .. }
            | Self::MissingVerb
            | Self::UnknownVerb(_)
            | Self::MissingOperand
            | Self::MissingControlAddress
            | Self::MissingEdgeAddress
            | Self::Output(_)
            | Self::Encode(_) => 2,
            Self::Inconclusive(_) | Self::NoEdgeReport => 3,
        }
    }
}
