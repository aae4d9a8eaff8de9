//! A backend's answer: its head, read by `httparse`, and its body, whole where it is small.

use super::reader::Reader;
use crate::body::HELD;
use bytes::{Buf, Bytes, BytesMut};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use violetyoke_api::calls::header;
use violetyoke_balancing::ReportedLoad;

const MOST_HEADERS: usize = 96;
pub(super) const LARGEST_HEAD: usize = 64 << 10;

/// An answer as it came.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    /// Headers that are passed on, in their order.
    pub headers: Vec<(String, Bytes)>,
    /// The body, or its beginning where it is too large to be held.
    pub body: Bytes,
    /// Then this reads what is left of it.
    pub rest: Option<Reader>,
    /// Bytes of the body in all, where the backend says so.
    pub length: Option<u64>,
    pub attempt: Option<String>,
    pub sealed: bool,
    pub not_executed: bool,
    pub load: Option<ReportedLoad>,
    pub keep: bool,
    pub keep_for: Option<Duration>,
}

pub(super) fn bad(why: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

/// Reads more; an end is an error, as something is due.
pub(super) async fn more(stream: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut) -> io::Result<()> {
    buffer.reserve(4096);
    match stream.read_buf(buffer).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// Reads one answer, one that only says to go on left out: whole, or up to where its body is too large to be held.
pub async fn read(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    head_only: bool,
) -> io::Result<Answer> {
    loop {
        let (mut answer, mut reader) = loop {
            if let Some((answer, reader, size)) = head(buffer, head_only)? {
                buffer.advance(size);
                break (answer, reader);
            }
            if buffer.len() > LARGEST_HEAD {
                return Err(bad("head too large"));
            }
            more(stream, buffer).await?;
        };
        if (100..200).contains(&answer.status) {
            continue;
        }
        let mut pieces: Vec<Bytes> = Vec::new();
        let mut held = 0;
        while held <= HELD {
            let Some(piece) = reader.next(stream, buffer).await? else {
                answer.body = joined(pieces);
                return Ok(answer);
            };
            held += piece.len();
            pieces.push(piece);
        }
        (answer.body, answer.rest) = (joined(pieces), Some(reader));
        return Ok(answer);
    }
}

fn joined(mut pieces: Vec<Bytes>) -> Bytes {
    match pieces.len() {
        0 | 1 => pieces.pop().unwrap_or_default(),
        _ => Bytes::from(pieces.concat()),
    }
}

fn head(buffer: &[u8], head_only: bool) -> io::Result<Option<(Answer, Reader, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let size = match parsed.parse(buffer).map_err(|_| bad("no answer"))? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(size) => size,
    };
    let status = parsed.code.unwrap_or(0);
    if !(100..600).contains(&status) {
        return Err(bad("status"));
    }
    let mut answer = Answer { status, keep: parsed.version == Some(1), ..Answer::default() };
    let (mut exact, mut chunked) = (None, false);
    for field in parsed.headers.iter() {
        let name = field.name.to_ascii_lowercase();
        let text = std::str::from_utf8(field.value).unwrap_or("").trim();
        match name.as_str() {
            "content-length" => {
                let told = digits(text).ok_or_else(|| bad("length"))?;
                if exact.is_some_and(|other| other != told) {
                    return Err(bad("two lengths"));
                }
                exact = Some(told);
                continue;
            }
            "transfer-encoding" => {
                chunked = text.eq_ignore_ascii_case("chunked");
                if !chunked {
                    return Err(bad("transfer coding"));
                }
                continue;
            }
            "connection" => {
                answer.keep &= !text.split(',').any(|word| word.trim().eq_ignore_ascii_case("close"));
                continue;
            }
            "keep-alive" => {
                let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
                answer.keep_for = seconds.and_then(|text| text.parse().ok()).map(Duration::from_secs);
                continue;
            }
            "proxy-connection" | "te" | "trailer" | "upgrade" => continue,
            header::ATTEMPT => answer.attempt = Some(text.to_owned()),
            header::SEAL => answer.sealed = true,
            header::NOT_EXECUTED => answer.not_executed = true,
            header::LOAD => answer.load = load(text),
            _ => {}
        }
        answer.headers.push((name, Bytes::copy_from_slice(field.value)));
    }
    let empty = head_only || status < 200 || status == 204 || status == 304;
    let reader = match (empty, chunked, exact) {
        (true, ..) => Reader::Ended,
        (_, true, Some(_)) => return Err(bad("length and chunks")),
        (_, true, None) => Reader::Size,
        (_, _, Some(size)) => Reader::Exact(size),
        // It would end with the connection: one that was cut short could not be told from a whole one.
        _ => return Err(bad("no length")),
    };
    answer.length = exact;
    Ok(Some((answer, reader, size)))
}

/// A length: digits alone, no sign.
fn digits(text: &str) -> Option<u64> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// Requests running and waiting, of `running, waiting, slots`.
fn load(text: &str) -> Option<ReportedLoad> {
    let mut figures = text.split(',').map(|figure| figure.trim().parse::<u32>().ok());
    Some(ReportedLoad { running: figures.next()??, waiting: figures.next()?? })
}
