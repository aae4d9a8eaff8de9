//! The steps of serving a client's request, from its head to the response.

mod error;
mod lookup;
mod operation;
mod response;
mod upstream_head;

use crate::configuration::ActiveConfiguration;
use crate::forward::{forward, ForwardRequest, ForwardResponse};
use crate::freshness::Freshness;
use crate::request_body::RequestBody;
use crate::state::Proxy;
use crate::upstream::preconnect;
use error::RequestError;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Method, Request};
use lookup::{header_text, lookup, Match};
use operation::{operation_key, serve_operation, OperationResponse};
pub(crate) use response::ClientResponse;
use response::{error_response, forward_response, replayed_response};
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use tokio::time::Instant;
use upstream_head::upstream_head;
use violetyoke_api::calls::header;
use violetyoke_api::configuration::{Service, Tenant};
use violetyoke_api::quantity::Milliseconds;
use violetyoke_api::routing::{RouteEntry, RoutingTable};
use violetyoke_balancing::retry_policy::RetryPolicy;
use violetyoke_balancing::Millis;
use violetyoke_quota::Admission;

/// Serves one request.
pub(crate) async fn handle(proxy: &Rc<Proxy>, request: Request<Incoming>) -> ClientResponse {
    proxy.metrics.requests.inc();
    match serve(proxy, request).await {
        Ok(response) => response,
        Err(error) => {
            error.record(&proxy.metrics);
            error_response(&error)
        }
    }
}

async fn serve(proxy: &Rc<Proxy>, request: Request<Incoming>) -> Result<ClientResponse, RequestError> {
    let arrived_at = Instant::now();
    let (parts, body) = request.into_parts();
    let configuration = admit(proxy, &parts).await?;
    let table = configuration.routing();
    let Match { route, tenant } = lookup(table, &parts)?;
    let operation_key = operation_key(route, tenant, &parts.headers)?;
    let body = RequestBody::read(body, table.limits.max_body_bytes()).await?;
    let service = select_service(proxy, table, route)?;
    let request = forward_request(&parts, body, route, tenant, service, arrived_at);
    let response = match operation_key {
        None => {
            check_quota_and_connect(proxy, tenant, &request).await?;
            forward_response(proxy, forward_to_backend(proxy, &request).await?)
        }
        Some(key) => {
            let attempt_id = request.attempt_id.clone();
            match serve_operation(proxy, tenant, service, key, request).await? {
                OperationResponse::Forwarded(response) => forward_response(proxy, response),
                OperationResponse::Recorded(response) => replayed_response(response, &attempt_id),
            }
        }
    };
    proxy.metrics.answered.inc();
    Ok(response)
}

async fn forward_to_backend(
    proxy: &Rc<Proxy>,
    request: &ForwardRequest,
) -> Result<ForwardResponse, RequestError> {
    forward(proxy, request).await.map_err(|error| RequestError::from_forward(request, error))
}

/// The configuration by which the request is served. A request is denied only if the configuration is
/// confirmed to be the newest: a partitioned proxy may lack a route or tenant whose creation was already
/// acknowledged to an operator.
async fn admit(proxy: &Proxy, parts: &Parts) -> Result<Rc<ActiveConfiguration>, RequestError> {
    let snapshot = proxy.configuration.snapshot().filter(|_| proxy.serving.is_ready());
    let configuration = snapshot.ok_or(RequestError::NotReady)?;
    if lookup(configuration.routing(), parts).is_ok() {
        return Ok(configuration);
    }
    match proxy.freshness.check().await {
        Freshness::Updated => Ok(proxy.configuration.snapshot().unwrap_or(configuration)),
        Freshness::UpToDate => Ok(configuration),
        Freshness::Unknown => Err(RequestError::Unconfirmed),
    }
}

/// Counts the request at the registry that owns its tenant's counter.
async fn check_quota(proxy: &Proxy, tenant: Option<&Tenant>) -> Result<(), RequestError> {
    let Some(tenant) = tenant else { return Ok(()) };
    match proxy.quota.admit(tenant).await {
        Admission::Admitted => Ok(()),
        Admission::Denied { retry_after_ms } => Err(RequestError::OverLimit { retry_after_ms }),
    }
}

/// Checks the tenant's limit and concurrently opens a connection to a backend in another region. A request
/// over the limit is rejected without waiting for the connection.
async fn check_quota_and_connect(
    proxy: &Proxy,
    tenant: Option<&Tenant>,
    request: &ForwardRequest,
) -> Result<(), RequestError> {
    let mut connected = pin!(preconnect(proxy, request));
    let mut admitted = pin!(check_quota(proxy, tenant));
    tokio::select! {
        biased;
        result = admitted.as_mut() => {
            result?;
            connected.await;
            Ok(())
        }
        () = connected.as_mut() => admitted.await,
    }
}

/// The service that gets the request, selected by the weights of the route's split.
fn select_service<'a>(
    proxy: &Proxy,
    table: &'a RoutingTable,
    route: &RouteEntry,
) -> Result<&'a Service, RequestError> {
    let sample = proxy.splits.next(&route.name, || proxy.backends.sample_uniform());
    let service = route.service(sample).and_then(|index| table.services.get(index));
    service.ok_or(RequestError::NoService)
}

fn forward_request(
    parts: &Parts,
    body: RequestBody,
    route: &RouteEntry,
    tenant: Option<&Tenant>,
    service: &Service,
    arrived_at: Instant,
) -> ForwardRequest {
    let client_deadline = header_text(&parts.headers, header::DEADLINE).and_then(Milliseconds::parse);
    let timeout = client_deadline.map_or(route.timeout, |deadline| deadline.to_duration().min(route.timeout));
    ForwardRequest {
        service: service.name.clone(),
        home_regions: [
            route.home_regions.clone(),
            tenant.map(|tenant| tenant.home_regions.clone()).unwrap_or_default(),
        ],
        policy: RetryPolicy {
            is_idempotent: route.is_idempotent(),
            max_attempts: route.max_attempts,
            latency_target_ms: route.target.as_millis() as Millis,
            deadline_ms: timeout.as_millis() as Millis,
        },
        // The tenant's priority overrides the route's.
        priority: tenant.and_then(|tenant| tenant.priority).unwrap_or(route.priority),
        is_head: parts.method == Method::HEAD,
        attempt_id: header_text(&parts.headers, header::ATTEMPT).unwrap_or_default().to_owned(),
        head: upstream_head(parts, tenant.map(|tenant| tenant.name.as_str()), &body),
        body,
        arrived_at,
        deadline: arrived_at + timeout,
        preconnected: Cell::new(None),
        claim: None,
    }
}
