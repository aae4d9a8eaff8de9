//! One process of an ingress takes over from another: what it asks for and is handed, what it hands down itself,
//! and the round in which it looks what the other has left in `$TMPDIR`.

use crate::handover::Handover;
use crate::succession::Inheritance;
use crate::{server, Clock, Message, Messages};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep;
use violetyoke_operations::ServingState;
use violetyoke_succession::{HandoverAction, Header, Predecessor, StateHandover, HANDOVER_TIMEOUT};

/// How often a process that shares its listening socket looks what others of its ingress have left.
const LOOK: Duration = Duration::from_millis(100);
/// How often one that is about to serve looks whether it can.
const SOON: Duration = Duration::from_millis(10);

/// The process that serves, if any does, and what it hands down to this one. Without that this one begins knowing
/// nothing, and says so.
pub async fn inherited(
    handover: &Handover,
    name: &str,
    settings: u64,
    clock: Clock,
) -> (Option<String>, Option<Box<Inheritance>>) {
    let nothing = |why: &dyn std::fmt::Display| {
        eprintln!("handed down: nothing is believed: {why}");
        None
    };
    let older = match handover.ask() {
        Ok(Some(older)) => older,
        Ok(None) => return (None, None),
        Err(error) => return (None, nothing(&error)),
    };
    // Nobody can answer before the request is written, and on a busy disk that takes long.
    let requested = clock.now();
    let expected = Header { ingress: name.to_string(), settings, to: handover.own().to_string() };
    let inherited = loop {
        match handover.handed() {
            Ok(Some(sealed)) => match violetyoke_succession::open::<Inheritance>(&sealed, &expected) {
                Ok(inheritance) => break Some(Box::new(inheritance)),
                Err(error) => break nothing(&error),
            },
            Ok(None) if clock.now() < requested + HANDOVER_TIMEOUT => sleep(SOON).await,
            Ok(None) => break nothing(&"the process that serves has not answered"),
            Err(error) => break nothing(&error),
        }
    };
    (Some(older), inherited)
}

/// Hands down what this process knows, and takes it back.
pub struct Lender {
    handover: Rc<Handover>,
    name: String,
    fingerprint: Rc<Cell<u64>>,
    clock: Clock,
    messages: Messages,
    state: StateHandover,
}

impl Lender {
    pub fn new(
        handover: Rc<Handover>,
        name: String,
        fingerprint: Rc<Cell<u64>>,
        clock: Clock,
        messages: Messages,
    ) -> Lender {
        let state = StateHandover::new(handover.asked());
        Lender { handover, name, fingerprint, clock, messages, state }
    }

    /// `lent` is what is another's just now.
    async fn look(&mut self, taken_over: bool, lent: &mut Option<Box<Inheritance>>) {
        let asked = self.handover.asked();
        match self.state.next_action(self.clock.now(), asked.as_deref(), taken_over) {
            HandoverAction::None => {}
            HandoverAction::TakeBack => {
                if let Some(lent) = lent.take() {
                    eprintln!("handover: nobody has come for what was handed down: it is taken back");
                    let _ = self.messages.send(Message::ReclaimState(lent));
                }
            }
            HandoverAction::HandOver(to) => {
                let (reply, handed) = oneshot::channel();
                let _ = self.messages.send(Message::ExportState(reply));
                let Ok(inheritance) = handed.await else { return };
                let (ingress, settings) = (self.name.clone(), self.fingerprint.get());
                let sealed = violetyoke_succession::seal(&Header { ingress, settings, to }, &inheritance);
                match sealed.map(|sealed| self.handover.hand(&sealed)) {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => eprintln!("handover: {error}"),
                    Err(error) => eprintln!("handover: {error}"),
                }
                *lent = Some(inheritance);
            }
        }
    }
}

/// Tells an older process once this one can serve, and notices its end; heeds a newer one, and hands down to it; follows
/// what either has done by hand.
pub async fn look(mut lender: Lender, shared: Rc<server::ServerState>, older: Option<String>) {
    let (handover, messages) = (lender.handover.clone(), lender.messages.clone());
    while !shared.router.is_ready() {
        sleep(SOON).await;
    }
    let announced = handover.announce();
    handover.tidy();
    // Before it takes a client, and before anybody is told that it can: the older one may be ended at once then,
    // and has to know why.
    shared.awaiting_takeover.set(false);
    if let Err(error) = &announced {
        eprintln!("handover: {error}");
    }
    let (mut out, mut lent) = (handover.out(), None);
    let mut predecessor = older.map(|older| Predecessor::new(older, lender.clock.now()));
    let _ = messages.send(Message::ManualEjections(out.clone()));
    loop {
        let taken_over = announced.is_ok() && handover.taken_over();
        if taken_over {
            shared.update_state(|state, _| state.on_taken_over());
        } else if shared.serving_state.get() == ServingState::TakenOver {
            // Whoever comes next is to ask this process again.
            if let Err(error) = handover.announce() {
                eprintln!("handover: {error}");
            }
            shared.update_state(|state, _| state.on_successor_lost());
        }
        lender.look(taken_over, &mut lent).await;
        let has_ended =
            |older: &mut Predecessor| older.has_ended(lender.clock.now(), handover.ended().as_deref());
        if predecessor.take_if(has_ended).is_some() {
            let _ = messages.send(Message::PredecessorEnded);
        }
        let written = handover.out();
        if written != out {
            out = written;
            let _ = messages.send(Message::ManualEjections(out.clone()));
        }
        sleep(LOOK).await;
    }
}
