//! Hot restart of an ingress: requests the state of the old process, exports the state of this process to a new
//! one, and polls the files that the processes exchange (see [`HandoverFolder`]).

use crate::handover_folder::HandoverFolder;
use crate::handover_state::HandoverState;
use crate::{server, Clock, Message, Messages};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep;
use violetyoke_operations::ServingState;
use violetyoke_succession::{HandoverAction, Header, Predecessor, StateHandover, HANDOVER_TIMEOUT};

/// How often a process that shares its listening socket polls the files of other processes of its ingress.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How often a starting process checks for the requested state, and whether it is ready to serve.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the process that serves, if there is one, and the state that it exports to this one. If it exports
/// none, this process starts without state and logs the reason.
pub async fn request_predecessor_state(
    handover: &HandoverFolder,
    name: &str,
    settings: u64,
    clock: Clock,
) -> (Option<String>, Option<Box<HandoverState>>) {
    let no_state = |reason: &dyn std::fmt::Display| {
        eprintln!("state handover: nothing imported: {reason}");
        None
    };
    let old_process = match handover.request_state() {
        Ok(Some(old_process)) => old_process,
        Ok(None) => return (None, None),
        Err(error) => return (None, no_state(&error)),
    };
    // The time-out starts once the request is written, which can take long on a busy disk.
    let requested = clock.now();
    let expected = Header { ingress: name.to_string(), settings, to: handover.process_name().to_string() };
    let imported = loop {
        match handover.take_state() {
            Ok(Some(sealed)) => match violetyoke_succession::open::<HandoverState>(&sealed, &expected) {
                Ok(state) => break Some(Box::new(state)),
                Err(error) => break no_state(&error),
            },
            Ok(None) if clock.now() < requested + HANDOVER_TIMEOUT => sleep(READY_POLL_INTERVAL).await,
            Ok(None) => break no_state(&"the process that serves has not answered"),
            Err(error) => break no_state(&error),
        }
    };
    (Some(old_process), imported)
}

/// Exports the state of this process to a new one, and reclaims it.
pub struct StateExporter {
    handover: Rc<HandoverFolder>,
    name: String,
    fingerprint: Rc<Cell<u64>>,
    clock: Clock,
    messages: Messages,
    state: StateHandover,
}

impl StateExporter {
    pub fn new(
        handover: Rc<HandoverFolder>,
        name: String,
        fingerprint: Rc<Cell<u64>>,
        clock: Clock,
        messages: Messages,
    ) -> StateExporter {
        let state = StateHandover::new(handover.requested_by());
        StateExporter { handover, name, fingerprint, clock, messages, state }
    }

    /// Exports or reclaims the state if that is due. `exported` is the exported state that was not reclaimed.
    async fn poll(&mut self, has_successor: bool, exported: &mut Option<Box<HandoverState>>) {
        let requested_by = self.handover.requested_by();
        match self.state.next_action(self.clock.now(), requested_by.as_deref(), has_successor) {
            HandoverAction::None => {}
            HandoverAction::TakeBack => {
                if let Some(exported) = exported.take() {
                    eprintln!("state handover: no process took over: the exported state is reclaimed");
                    let _ = self.messages.send(Message::ReclaimState(exported));
                }
            }
            HandoverAction::HandOver(to) => {
                let (reply, exported_state) = oneshot::channel();
                let _ = self.messages.send(Message::ExportState(reply));
                let Ok(state) = exported_state.await else { return };
                let (ingress, settings) = (self.name.clone(), self.fingerprint.get());
                let sealed = violetyoke_succession::seal(&Header { ingress, settings, to }, &state);
                match sealed.map(|sealed| self.handover.write_state(&sealed)) {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => eprintln!("handover: {error}"),
                    Err(error) => eprintln!("handover: {error}"),
                }
                *exported = Some(state);
            }
        }
    }
}

/// Announces to the old process that this one serves, and waits for its end; yields to a new process and
/// exports the state to it; follows the manual ejections of both.
pub async fn run(mut exporter: StateExporter, shared: Rc<server::ServerState>, old_process: Option<String>) {
    let (handover, messages) = (exporter.handover.clone(), exporter.messages.clone());
    while !shared.router.is_ready() {
        sleep(READY_POLL_INTERVAL).await;
    }
    let announced = handover.announce_serving();
    handover.remove_ended_processes();
    // Announced before this process accepts a client and reports that it is ready: the old process may be
    // terminated then, and must know by that time that it has a successor.
    shared.awaiting_takeover.set(false);
    if let Err(error) = &announced {
        eprintln!("handover: {error}");
    }
    let (mut manual_ejections, mut exported) = (handover.manual_ejections(), None);
    let mut predecessor = old_process.map(|old_process| Predecessor::new(old_process, exporter.clock.now()));
    let _ = messages.send(Message::ManualEjections(manual_ejections.clone()));
    loop {
        let has_successor = announced.is_ok() && handover.is_taken_over();
        if has_successor {
            shared.update_state(|state, _| state.on_taken_over());
        } else if shared.serving_state.get() == ServingState::TakenOver {
            // The next process has to request the state from this one.
            if let Err(error) = handover.announce_serving() {
                eprintln!("handover: {error}");
            }
            shared.update_state(|state, _| state.on_successor_lost());
        }
        exporter.poll(has_successor, &mut exported).await;
        let has_ended = |old_process: &mut Predecessor| {
            old_process.has_ended(exporter.clock.now(), handover.ended_process().as_deref())
        };
        if predecessor.take_if(has_ended).is_some() {
            let _ = messages.send(Message::PredecessorEnded);
        }
        let stored = handover.manual_ejections();
        if stored != manual_ejections {
            manual_ejections = stored;
            let _ = messages.send(Message::ManualEjections(manual_ejections.clone()));
        }
        sleep(POLL_INTERVAL).await;
    }
}
