//! Requests on keyed routes: each operation is claimed before its request is forwarded, and repeated requests
//! of the same operation get the recorded response.

use super::error::RequestError;
use super::{check_quota, check_quota_and_connect, forward_to_backend};
use crate::forward::{check_overload, ForwardRequest, ForwardResponse};
use crate::operations::{Claim, ClaimDecision, ClaimTerms};
use crate::state::Proxy;
use crate::upstream::UpstreamResponse;
use hyper::header::HeaderMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use violetyoke_api::calls::header;
use violetyoke_api::configuration::{RouteKind, Service, Tenant};
use violetyoke_api::routing::RouteEntry;
use violetyoke_balancing::Millis;
use violetyoke_transport::messages::{OperationKey, RecordedField, RecordedResponse};

/// The longest operation key (bytes).
const MAX_KEY_BYTES: usize = 256;
/// Expected duration of an operation in progress, as a multiple of the latency target of its route.
const EXPECTED_DURATION_FACTOR: Millis = 2;

/// The response to a request on a keyed route.
pub(super) enum OperationResponse {
    /// A backend's response to this request.
    Forwarded(ForwardResponse),
    /// The response to an earlier request of the same operation.
    Recorded(RecordedResponse),
}

/// The operation key of a request; `None` on a route that is not keyed.
///
/// # Errors
/// The route is keyed, but the request does not have exactly one valid key.
pub(super) fn operation_key(
    route: &RouteEntry,
    tenant: Option<&Tenant>,
    headers: &HeaderMap,
) -> Result<Option<OperationKey>, RequestError> {
    if route.kind != RouteKind::Keyed {
        return Ok(None);
    }
    let mut values = headers.get_all(header::OPERATION_KEY).iter();
    let (Some(key), None) = (values.next(), values.next()) else {
        return Err(RequestError::InvalidOperationKey);
    };
    let is_valid =
        (1..=MAX_KEY_BYTES).contains(&key.len()) && key.as_bytes().iter().all(u8::is_ascii_graphic);
    let key = key.to_str().ok().filter(|_| is_valid).ok_or(RequestError::InvalidOperationKey)?;
    let tenant = tenant.map(|tenant| tenant.name.clone()).unwrap_or_default();
    Ok(Some(OperationKey { tenant, key: key.to_owned() }))
}

/// Claims the operation of a request, and forwards the request if the claim is granted. In overload, the
/// request is rejected before the claim, so that no claim has to be released.
pub(super) async fn serve_operation(
    proxy: &Rc<Proxy>,
    tenant: Option<&Tenant>,
    service: &Service,
    key: OperationKey,
    mut request: ForwardRequest,
) -> Result<OperationResponse, RequestError> {
    if let Err(error) = check_overload(proxy, &request) {
        // Rejected requests count against the tenant's limit too, as on other routes.
        check_quota(proxy, tenant).await?;
        return Err(RequestError::from_forward(&request, error));
    }
    let is_self_deduplicating = service.self_dedup;
    let latency_target_ms = request.policy.latency_target_ms;
    let terms = ClaimTerms { key, is_self_deduplicating, deadline: request.deadline };
    let claim = Claim::new(&proxy.operations, terms);
    match claim_and_connect(proxy, tenant, &request, &claim).await? {
        ClaimDecision::Granted { store_regions } => {
            request.claim = Some(claim);
            forward_detached(proxy, request, store_regions).await.map(OperationResponse::Forwarded)
        }
        ClaimDecision::Executed { holder } => {
            let response = proxy.operations.read_response(holder, request.deadline).await;
            response.map(OperationResponse::Recorded).ok_or(RequestError::UnknownOutcome)
        }
        ClaimDecision::InProgress { retry_after_ms } => {
            let expected_ms = latency_target_ms * EXPECTED_DURATION_FACTOR;
            Err(RequestError::OperationInProgress { retry_after_ms: retry_after_ms.min(expected_ms) })
        }
        ClaimDecision::Unknown => Err(RequestError::UnknownOutcome),
        ClaimDecision::Unavailable => Err(RequestError::ClaimUnavailable),
    }
}

/// Claims the operation while the tenant's limit is checked and a connection to a backend in another region
/// is opened. Returns at once if the request is over the limit or the claim is not granted.
async fn claim_and_connect(
    proxy: &Proxy,
    tenant: Option<&Tenant>,
    request: &ForwardRequest,
    claim: &Claim,
) -> Result<ClaimDecision, RequestError> {
    let latency_target = Duration::from_millis(request.policy.latency_target_ms);
    let mut admitted = pin!(check_quota_and_connect(proxy, tenant, request));
    let mut decided = pin!(claim.decide(latency_target));
    tokio::select! {
        biased;
        result = admitted.as_mut() => {
            result?;
            Ok(decided.await)
        }
        decision = decided.as_mut() => {
            if matches!(decision, ClaimDecision::Granted { .. }) {
                admitted.await?;
            }
            Ok(decision)
        }
    }
}

/// Forwards a claimed request in a separate task, so that the operation continues and its result is reported
/// even if the client disconnects.
async fn forward_detached(
    proxy: &Rc<Proxy>,
    request: ForwardRequest,
    store_regions: Vec<String>,
) -> Result<ForwardResponse, RequestError> {
    let (sender, result) = oneshot::channel();
    let proxy = proxy.clone();
    tokio::task::spawn_local(async move {
        let result = forward_to_backend(&proxy, &request).await;
        report_response(&request, &store_regions, &result);
        // The claim is dropped, and its result reported, before the client can repeat the request.
        drop(request);
        // Fails if the client has disconnected.
        drop(sender.send(result));
    });
    // The task ends without a result only if it panics.
    result.await.unwrap_or(Err(RequestError::UnknownOutcome))
}

/// Reports the response of an operation. Without a response, dropping the claim reports what is known about
/// the attempts.
fn report_response(
    request: &ForwardRequest,
    store_regions: &[String],
    result: &Result<ForwardResponse, RequestError>,
) {
    let (Some(claim), Ok(forwarded)) = (&request.claim, result) else { return };
    // `rest` is what remains of a response that is too large to be buffered.
    let is_complete = forwarded.rest.is_none();
    let is_recorded = is_complete && may_record_response(request, store_regions);
    claim.complete(is_recorded.then(|| recorded_response(&forwarded.response)));
}

/// Whether the response to a request may be recorded by stores in `store_regions`: each of them must be a
/// home region of the request's route and of its tenant, where these have home regions (the regions
/// whose backends may execute the request). If the response is not recorded, repeated requests get 502.
fn may_record_response(request: &ForwardRequest, store_regions: &[String]) -> bool {
    let contains_all_stores = |homes: &Vec<String>| store_regions.iter().all(|region| homes.contains(region));
    request.home_regions.iter().all(|homes| homes.is_empty() || contains_all_stores(homes))
}

/// The response for repeated requests: all forwarded fields except the attempt id, which is replaced by the
/// repeated request's own id.
fn recorded_response(response: &UpstreamResponse) -> RecordedResponse {
    let fields = response.headers.iter().filter(|(name, _)| name != header::ATTEMPT);
    RecordedResponse {
        status: response.status,
        headers: fields
            .map(|(name, value)| RecordedField { name: name.clone(), value: value.to_vec() })
            .collect(),
        body: response.body.to_vec(),
    }
}
