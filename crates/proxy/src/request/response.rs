//! Responses to the client: a backend's, forwarded, or the proxy's own.

use super::error::RequestError;
use super::lookup::Denial;
use crate::forward::{ForwardError, ForwardResponse, StreamedRest};
use crate::request_body::BodyError;
use crate::state::Proxy;
use crate::upstream::UpstreamResponse;
use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::rc::Rc;
use violetyoke_api::calls::header;
use violetyoke_api::execution::{Execution, FailureReason};
use violetyoke_balancing::Millis;
use violetyoke_transport::messages::{RecordedField, RecordedResponse};

/// A response with a buffered body, or with one that is streamed.
pub(crate) type ClientResponse = Response<Either<Full<Bytes>, Channel<Bytes, std::io::Error>>>;

/// When a client may try again whose request could not be served or denied yet (ms).
const RETRY_AFTER_NOT_READY_MS: Millis = 200;
/// The same where no store decided on a claim: about the time in which another store takes the lead (ms).
const RETRY_AFTER_UNCLAIMED_MS: Millis = 500;
/// Pieces of a streamed body that wait for the client: more would take memory for each slow client.
const STREAM_BUFFER: usize = 1;

/// The proxy's own response.
pub(super) fn error_response(error: &RequestError) -> ClientResponse {
    match error {
        RequestError::NotReady | RequestError::Unconfirmed => failure_response(
            Execution::NotExecuted,
            FailureReason::Overloaded,
            Some(RETRY_AFTER_NOT_READY_MS),
        ),
        RequestError::Denied(Denial::NoRoute) => text_response(404, "no such route"),
        RequestError::Denied(Denial::UnknownCredential) => text_response(401, "no such key"),
        RequestError::Body(BodyError::TooLarge) => text_response(413, "body too large"),
        RequestError::Body(BodyError::Incomplete) => text_response(400, "body not whole"),
        RequestError::OverLimit { retry_after_ms } => {
            failure_response(Execution::NotExecuted, FailureReason::OverLimit, Some(*retry_after_ms))
        }
        RequestError::NoService => failure_response(Execution::NotExecuted, FailureReason::Overloaded, None),
        RequestError::InvalidOperationKey => {
            text_response(400, "x-operation-key is required once: 1 to 256 visible ASCII characters")
        }
        RequestError::OperationInProgress { retry_after_ms } => {
            let response = text_response(409, "the operation is in progress");
            with_retry_after(response, *retry_after_ms)
        }
        RequestError::UnknownOutcome => failure_response(Execution::Unknown, FailureReason::Overloaded, None),
        RequestError::ClaimUnavailable => failure_response(
            Execution::NotExecuted,
            FailureReason::Overloaded,
            Some(RETRY_AFTER_UNCLAIMED_MS),
        ),
        RequestError::Forward(ForwardError { execution, reason, retry_after_ms, .. }) => {
            failure_response(*execution, *reason, *retry_after_ms)
        }
    }
}

/// A status that promises that the request was not executed, or one that does not, as `execution` says.
fn failure_response(
    execution: Execution,
    reason: FailureReason,
    retry_after_ms: Option<Millis>,
) -> ClientResponse {
    let text = match reason {
        FailureReason::OverLimit => "past the tenant's limit",
        FailureReason::Overloaded => "no backend could take it",
        FailureReason::DeadlineExceeded => "no answer in time",
    };
    let client_response = text_response(execution.status(reason), text);
    match (execution, retry_after_ms) {
        (Execution::NotExecuted, Some(ms)) => with_retry_after(client_response, ms),
        _ => client_response,
    }
}

fn with_retry_after(mut client_response: ClientResponse, ms: Millis) -> ClientResponse {
    let seconds = format!("{:.3}", ms as f64 / 1000.0);
    // Digits and a point are a valid value.
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        client_response.headers_mut().insert(RETRY_AFTER, value);
    }
    client_response
}

fn text_response(status: u16, text: &'static str) -> ClientResponse {
    let mut client_response = Response::new(Either::Left(Full::new(Bytes::from_static(text.as_bytes()))));
    *client_response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    client_response
}

/// A backend's response as the client gets it. The rest of one that is too large to be buffered is forwarded by a task
/// of its own, which ends with the response's deadline or its client.
pub(super) fn forward_response(proxy: &Rc<Proxy>, forwarded: ForwardResponse) -> ClientResponse {
    match forwarded.rest {
        None => buffered_response(forwarded.response),
        Some(rest) => streamed_response(proxy, forwarded.response, rest),
    }
}

fn buffered_response(response: UpstreamResponse) -> ClientResponse {
    let mut client_response = Response::new(Either::Left(Full::new(response.body)));
    *client_response.status_mut() = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in response.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_maybe_shared(value)) {
            client_response.headers_mut().append(name, value);
        }
    }
    client_response
}

/// The recorded response to an earlier request of the same operation, as a repeat with that attempt id gets it.
pub(super) fn replayed_response(recorded: RecordedResponse, attempt_id: &str) -> ClientResponse {
    let mut client_response = Response::new(Either::Left(Full::new(Bytes::from(recorded.body))));
    *client_response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = client_response.headers_mut();
    for RecordedField { name, value } in recorded.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
            headers.append(name, value);
        }
    }
    if let Ok(value) = HeaderValue::from_str(attempt_id) {
        headers.insert(HeaderName::from_static(header::ATTEMPT), value);
    }
    client_response
}

fn streamed_response(proxy: &Rc<Proxy>, response: UpstreamResponse, rest: StreamedRest) -> ClientResponse {
    let (mut sender, channel) = Channel::new(STREAM_BUFFER);
    let (content_length, beginning) = (response.content_length, response.body.clone());
    let proxy = proxy.clone();
    tokio::task::spawn_local(async move {
        // Fails where the client has left; the next piece that is sent finds that too, and ends the task.
        drop(sender.send_data(beginning).await);
        rest.stream.forward(&proxy, sender).await;
        drop(rest.attempt);
    });
    let mut client_response = buffered_response(response).map(|_| Either::Right(channel));
    if let Some(length) = content_length {
        client_response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    client_response
}
