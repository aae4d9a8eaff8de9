//! Safety properties of the model, and states that must be reachable for the safety properties to be meaningful.

use crate::model::Operations;
use crate::proxy::Stage;
use crate::system::{System, WINDOW};
use stateright::Property;
use violetyoke_transport::messages::{Epoch, OperationState};

pub const EXECUTED_ONCE: &str = "an operation is executed once within its window";
const HOLDER_EXECUTED: &str = "a repeat receives a holder that has executed the operation";
const RELEASED_NOT_EXECUTED: &str = "a released claim was not executed";
pub const EXECUTED_AFTER_RELEASE: &str = "an operation is executed after another's release";
pub const REPLAYED: &str = "a repeat receives the recorded execution";
pub const OUTCOME_UNKNOWN: &str = "a repeat receives an unknown outcome";
pub const ACTIVE_AFTER_TAKEOVER: &str = "a second leader is active";

pub fn executed_once() -> Property<Operations> {
    Property::always(EXECUTED_ONCE, |_, system: &System| {
        system.executions.windows(2).all(|pair| pair[1].at >= pair[0].at + WINDOW)
    })
}

pub fn all() -> Vec<Property<Operations>> {
    vec![
        executed_once(),
        Property::always(HOLDER_EXECUTED, |_, system: &System| {
            system.proxies.iter().all(|proxy| match proxy.stage {
                Stage::Replayed { holder } => system.has_executed(holder),
                _ => true,
            })
        }),
        Property::always(RELEASED_NOT_EXECUTED, |_, system: &System| {
            let mut released = system.records().filter(|record| record.state == OperationState::Released);
            !released.any(|record| system.has_executed(record.holder))
        }),
        Property::sometimes(EXECUTED_AFTER_RELEASE, |_, system: &System| {
            let has_released = system.proxies.iter().any(|proxy| proxy.stage == Stage::Released);
            has_released && !system.executions.is_empty()
        }),
        Property::sometimes(REPLAYED, |_, system: &System| {
            system.proxies.iter().any(|proxy| matches!(proxy.stage, Stage::Replayed { .. }))
        }),
        Property::sometimes(OUTCOME_UNKNOWN, |_, system: &System| {
            system.proxies.iter().any(|proxy| proxy.stage == Stage::OutcomeUnknown)
        }),
        Property::sometimes(ACTIVE_AFTER_TAKEOVER, |_, system: &System| {
            let mut engines = system.stores.iter().map(|store| &store.engine);
            engines.any(|engine| engine.is_active() && engine.led_epoch() > Some(Epoch(1)))
        }),
    ]
}
