//! Commands applied to the control state: the deterministic state machine that is replicated.

use violetyoke_transport::messages::{Acceptance, Command, ControlState, Outcome};

/// The result of applying a command.
#[derive(Debug)]
pub(super) struct Applied {
    /// The reply, valid once the state after the command is committed.
    pub(super) outcome: Outcome,
    /// Whether the state differs from the one before.
    pub(super) has_changed: bool,
}

impl Applied {
    fn acknowledged(has_changed: bool) -> Applied {
        Applied { outcome: Outcome::Acknowledged, has_changed }
    }

    fn unchanged(outcome: Outcome) -> Applied {
        Applied { outcome, has_changed: false }
    }
}

/// Applies one command. The caller updates the revision of the state.
pub(super) fn apply(state: &mut ControlState, command: Command) -> Applied {
    match command {
        Command::Read => Applied::unchanged(Outcome::Read(state.clone())),
        Command::Evacuate { zone, empty: true } => Applied::acknowledged(state.evacuated.insert(zone)),
        Command::Evacuate { zone, empty: false } => Applied::acknowledged(state.evacuated.remove(&zone)),
        Command::Replace { version, text } => replace(state, version, text),
    }
}

/// Replaces the text, if `version` is newer than the version of the state.
///
/// Invariant: at most one text is ever acknowledged under a version. A repeated command is acknowledged again, and a
/// command with another text under the same version never is.
fn replace(state: &mut ControlState, version: u64, text: String) -> Applied {
    match state.acceptance(version, &text) {
        Acceptance::SameText => return Applied::acknowledged(false),
        Acceptance::OtherText => return Applied::unchanged(Outcome::VersionTaken),
        Acceptance::Unknown => {}
    }
    // An older version leaves the text as it is, but no other text can be accepted under its number afterwards.
    let is_remembered = state.accepted.insert(version, &text);
    let is_newer = state.is_newer(version);
    if is_newer {
        (state.version, state.text) = (version, text);
    }
    Applied::acknowledged(is_newer || is_remembered)
}
