//! Reads a backend's response: its head, and the buffered part of its body.

use super::framing::{invalid, read_more, BodyReader, MAX_HEAD_BYTES};
use super::keep_alive::KeepAliveTimeout;
use crate::request_body::MAX_BUFFERED_BYTES;
use bytes::{Buf, Bytes, BytesMut};
use std::io;
use tokio::io::AsyncRead;
use violetyoke_api::calls::header;
use violetyoke_balancing::ReportedLoad;

/// Maximum number of header fields of a response.
const MAX_HEADERS: usize = 96;

/// A response of a backend.
#[derive(Debug, Default)]
pub(crate) struct UpstreamResponse {
    pub(crate) status: u16,
    /// Forwarded fields in their original order, with names in lower case.
    pub(crate) headers: Vec<(String, Bytes)>,
    /// The body, or its beginning if it is too large to be buffered.
    pub(crate) body: Bytes,
    /// Reads the rest of the body; `None` if [`Self::body`] is complete.
    pub(super) rest: Option<BodyReader>,
    /// `Content-Length` (bytes).
    pub(crate) content_length: Option<u64>,
    /// The id of the attempt that the response belongs to, if it has one.
    pub(super) attempt_id: Option<String>,
    /// Whether the response has the backend's seal, which is required of each successful response.
    pub(super) is_sealed: bool,
    /// Whether the backend states that it did not execute the request.
    pub(super) is_not_executed: bool,
    pub(super) load: Option<ReportedLoad>,
    /// Whether the backend keeps the connection open for another request.
    pub(super) is_keep_alive: bool,
    /// The keep-alive time-out that the backend announced.
    pub(super) keep_alive_timeout: Option<KeepAliveTimeout>,
}

impl UpstreamResponse {
    /// Whether the response confirms that the backend did not execute the request.
    pub(super) fn is_rejection(&self) -> bool {
        self.is_not_executed || self.status == 421
    }
}

/// Reads one response, skipping interim ones (1xx). The body is read to its end, or until more than
/// [`MAX_BUFFERED_BYTES`] of it have arrived.
///
/// `is_head`: the request was a HEAD request, so the response has no body.
///
/// # Errors
/// The connection fails or ends early, or the response is invalid or of unknown length.
pub(super) async fn read_response(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    is_head: bool,
) -> io::Result<UpstreamResponse> {
    loop {
        let ParsedHead { mut response, body: mut reader, .. } = read_head(stream, buffer, is_head).await?;
        if (100..200).contains(&response.status) {
            continue;
        }
        let mut parts: Vec<Bytes> = Vec::new();
        let mut buffered = 0;
        while buffered <= MAX_BUFFERED_BYTES {
            let Some(data) = reader.next(stream, buffer).await? else {
                response.body = concat(parts);
                return Ok(response);
            };
            buffered += data.len();
            parts.push(data);
        }
        (response.body, response.rest) = (concat(parts), Some(reader));
        return Ok(response);
    }
}

/// Concatenates the parts. Copies only if there is more than one.
fn concat(mut parts: Vec<Bytes>) -> Bytes {
    match parts.len() {
        0 | 1 => parts.pop().unwrap_or_default(),
        _ => Bytes::from(parts.concat()),
    }
}

/// A parsed head, the reader for the body, and the size of the head (bytes).
struct ParsedHead {
    response: UpstreamResponse,
    body: BodyReader,
    size: usize,
}

async fn read_head(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    is_head: bool,
) -> io::Result<ParsedHead> {
    loop {
        if let Some(head) = parse_head(buffer, is_head)? {
            buffer.advance(head.size);
            return Ok(head);
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(invalid("head too large"));
        }
        read_more(stream, buffer).await?;
    }
}

/// Returns `None` while the head is incomplete.
fn parse_head(buffer: &[u8], is_head: bool) -> io::Result<Option<ParsedHead>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut fields);
    let size = match parsed.parse(buffer).map_err(|_| invalid("response head"))? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(size) => size,
    };
    let status = parsed.code.unwrap_or(0);
    if !(100..600).contains(&status) {
        return Err(invalid("status"));
    }
    // HTTP/1.0 servers close the connection after each response.
    let is_keep_alive = parsed.version == Some(1);
    let mut response = UpstreamResponse { status, is_keep_alive, ..UpstreamResponse::default() };
    let mut is_chunked = false;
    for field in parsed.headers.iter() {
        is_chunked |= read_field(&mut response, field)?;
    }
    let has_no_body = is_head || status < 200 || status == 204 || status == 304;
    let body = match (has_no_body, is_chunked, response.content_length) {
        (true, ..) => BodyReader::Complete,
        (_, true, Some(_)) => return Err(invalid("both a length and chunks")),
        (_, true, None) => BodyReader::ChunkSize,
        (_, _, Some(length)) => BodyReader::Length(length),
        // The body would end with the connection, and a truncated body could not be distinguished from a
        // complete one.
        _ => return Err(invalid("neither a length nor chunks")),
    };
    Ok(Some(ParsedHead { response, body, size }))
}

/// Adds one header field to the response; connection-specific fields are not forwarded. Returns whether the
/// field declares the body as chunked.
fn read_field(response: &mut UpstreamResponse, field: &httparse::Header<'_>) -> io::Result<bool> {
    let name = field.name.to_ascii_lowercase();
    let value = std::str::from_utf8(field.value).unwrap_or("").trim();
    match name.as_str() {
        "content-length" => {
            let length = parse_length(value).ok_or_else(|| invalid("length"))?;
            if response.content_length.is_some_and(|other| other != length) {
                return Err(invalid("two lengths"));
            }
            response.content_length = Some(length);
            return Ok(false);
        }
        "transfer-encoding" if value.eq_ignore_ascii_case("chunked") => return Ok(true),
        "transfer-encoding" => return Err(invalid("transfer coding")),
        "connection" => {
            let closes = value.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"));
            response.is_keep_alive &= !closes;
            return Ok(false);
        }
        "keep-alive" => {
            response.keep_alive_timeout = KeepAliveTimeout::parse(value);
            return Ok(false);
        }
        "proxy-connection" | "te" | "trailer" | "upgrade" => return Ok(false),
        header::ATTEMPT => response.attempt_id = Some(value.to_owned()),
        header::SEAL => response.is_sealed = true,
        header::NOT_EXECUTED => response.is_not_executed = true,
        header::LOAD => response.load = parse_load(value),
        _ => {}
    }
    response.headers.push((name, Bytes::copy_from_slice(field.value)));
    Ok(false)
}

/// Parses a length. Only digits are allowed, no sign.
fn parse_length(text: &str) -> Option<u64> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// Parses a load report, `running, waiting, slots`. `None` if it is not one that a backend can mean.
fn parse_load(text: &str) -> Option<ReportedLoad> {
    let mut fields = text.split(',').map(|field| field.trim().parse::<u32>().ok());
    ReportedLoad::new(fields.next()??, fields.next()??)
}
