//! Operators' calls: one handler for each.

use super::{json, ApiError, ApiResponse};
use crate::daemon::registry::Registry;
use crate::operator_policy::{admission_delay, installation_timeout};
use crate::refusals::Refusal;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use slog::{info, warn};
use std::cell::RefCell;
use tokio::time::{sleep, timeout_at, Instant};
use violetyoke_api::calls::query_parameter;
use violetyoke_api::configuration::document_version;
use violetyoke_api::{Configuration, ValidationError};
use violetyoke_transport::messages::{Command, Outcome};

/// Maximum size of a document, in bytes.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// Replaces the configuration; confirmed once all proxies have installed it, or a short time after it was accepted.
pub(super) async fn replace_configuration(
    registry: &RefCell<Registry>,
    body: Incoming,
) -> Result<ApiResponse, ApiError> {
    let document = read_document(body).await?;
    let version = validate(&mut registry.borrow_mut(), &document)?;
    let text =
        String::from_utf8(document.into()).map_err(|_| ValidationError::new("document", "is not UTF-8"))?;
    let received_at = Instant::now();
    match execute(registry, Command::Replace { version, text }).await? {
        Outcome::Acknowledged => {
            wait_until_installed(registry, version, received_at).await;
            Ok(json("{}"))
        }
        Outcome::VersionTaken => {
            info!(registry.borrow().log, "version conflict"; "version" => version);
            Err(ApiError::VersionConflict { version })
        }
        Outcome::Read(_) | Outcome::NotLeader => Err(ApiError::OutcomeUnknown),
    }
}

/// Returns the version of a valid configuration. A refusal is logged if it differs from the one before.
fn validate(registry: &mut Registry, document: &[u8]) -> Result<u64, ValidationError> {
    match Configuration::parse(document) {
        Ok(configuration) => {
            registry.refusals.clear();
            Ok(configuration.version)
        }
        Err(error) => {
            let version = document_version(document);
            if registry.refusals.record(Refusal { version, error: error.clone() }) {
                warn!(registry.log, "configuration refused"; "version" => version, "field" => &error.field,
                    "reason" => &error.reason);
            }
            Err(error)
        }
    }
}

/// The text of the configuration in force.
pub(super) async fn read_configuration(registry: &RefCell<Registry>) -> Result<ApiResponse, ApiError> {
    match execute(registry, Command::Read).await? {
        Outcome::Read(state) if state.text.is_empty() => Err(ApiError::NotConfigured),
        Outcome::Read(state) => Ok(json(state.text)),
        Outcome::Acknowledged | Outcome::VersionTaken | Outcome::NotLeader => Err(ApiError::OutcomeUnknown),
    }
}

/// Begins (`empty`) or finishes the evacuation of the zone that the query names.
pub(super) async fn evacuate(
    registry: &RefCell<Registry>,
    parameters: Option<&str>,
    empty: bool,
) -> Result<ApiResponse, ApiError> {
    let zone = query_parameter(parameters, "of").unwrap_or_default();
    if !registry.borrow().settings.network.zones.contains_key(zone) {
        return Err(ValidationError::new("of", "is no zone").into());
    }
    match execute(registry, Command::Evacuate { zone: zone.to_owned(), empty }).await? {
        Outcome::Acknowledged => Ok(json("{}")),
        Outcome::Read(_) | Outcome::VersionTaken | Outcome::NotLeader => Err(ApiError::OutcomeUnknown),
    }
}

async fn read_document(body: Incoming) -> Result<Bytes, ApiError> {
    let collected = Limited::new(body, MAX_DOCUMENT_BYTES).collect().await;
    Ok(collected.map_err(ApiError::Body)?.to_bytes())
}

/// Sends a command to the leading store, and waits for its outcome. If the client closes the connection, the call is
/// cancelled, and a command that has not been sent yet is dropped.
async fn execute(registry: &RefCell<Registry>, command: Command) -> Result<Outcome, ApiError> {
    if let Some(delay) = admission_delay(&command) {
        sleep(delay).await;
    }
    let outcome = submit(&mut registry.borrow_mut(), command);
    outcome.await.map_err(|_| ApiError::OutcomeUnknown)
}

fn submit(registry: &mut Registry, command: Command) -> tokio::sync::oneshot::Receiver<Outcome> {
    let now = registry.now();
    registry.commands.submit(now, command, registry.stores.leader())
}

/// Waits until each proxy with a session here has installed the version, but no longer than [`installation_timeout`].
async fn wait_until_installed(registry: &RefCell<Registry>, version: u64, received_at: Instant) {
    let accepted_at = Instant::now();
    let deadline = accepted_at + installation_timeout(accepted_at - received_at);
    let proxy_reported = registry.borrow().proxy_reported.clone();
    loop {
        let next_report = proxy_reported.notified();
        if registry.borrow().is_installed_by_all(version) || timeout_at(deadline, next_report).await.is_err()
        {
            return;
        }
    }
}
