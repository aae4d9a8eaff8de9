//! The directory: clients query it for the addresses of proxies.

use super::{json, ApiError, ApiResponse};
use crate::daemon::registry::Registry;
use std::cell::RefCell;
use std::time::Duration;
use violetyoke_api::calls::query_parameter;

/// Maximum time for which clients may cache an answer. Each query costs clients a round trip to the core, and a
/// client that tries a proxy which has shut down skips it.
const MAX_TTL: Duration = Duration::from_secs(5);

/// The addresses for a client in the region and the zone that the query names.
pub(super) fn resolve(
    registry: &RefCell<Registry>,
    parameters: Option<&str>,
) -> Result<ApiResponse, ApiError> {
    let registry = registry.borrow();
    let parameter = |name| query_parameter(parameters, name).unwrap_or_default();
    let addresses = registry.sessions.resolve(parameter("region"), parameter("zone"));
    if addresses.is_empty() {
        return Err(ApiError::NoReadyProxy);
    }
    let ttl_s = registry.settings.terms.bounds.ttl_max_s.to_duration().min(MAX_TTL).as_secs_f64();
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    Ok(json(serde_json::json!({ "addresses": addresses, "ttl-s": ttl_s }).to_string()))
}
