//! A backend's answer: its head, read by `httparse`, and its whole body.

use bytes::{Buf, Bytes, BytesMut};
use std::io;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use violetyoke_station::calls::header;

const MOST_HEADERS: usize = 96;
const LARGEST_HEAD: usize = 64 << 10;
/// The largest body that is taken.
const LARGEST_BODY: u64 = 64 << 20;

/// An answer as it came.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    /// Headers that are passed on, in their order.
    pub headers: Vec<(String, Bytes)>,
    pub body: Bytes,
    pub attempt: Option<String>,
    pub sealed: bool,
    pub not_executed: bool,
    /// Running, waiting.
    pub load: Option<(u32, u32)>,
    pub keep: bool,
    pub keep_for: Option<Duration>,
}

enum Length {
    None,
    Exact(u64),
    Chunks,
    /// Until the connection ends.
    Open,
}

fn bad(why: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

/// Reads more; an end is an error, as something is due.
async fn more(stream: &mut TcpStream, buffer: &mut BytesMut) -> io::Result<()> {
    buffer.reserve(4096);
    match stream.read_buf(buffer).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// Reads one whole answer, one that only says to go on left out.
pub async fn read(stream: &mut TcpStream, buffer: &mut BytesMut, head_only: bool) -> io::Result<Answer> {
    loop {
        let (mut answer, length) = loop {
            if let Some((answer, length, size)) = head(buffer, head_only)? {
                buffer.advance(size);
                break (answer, length);
            }
            if buffer.len() > LARGEST_HEAD {
                return Err(bad("head too large"));
            }
            more(stream, buffer).await?;
        };
        if (100..200).contains(&answer.status) {
            continue;
        }
        answer.body = match length {
            Length::None => Bytes::new(),
            Length::Exact(size) => exact(stream, buffer, size).await?,
            Length::Chunks => chunks(stream, buffer).await?,
            Length::Open => {
                answer.keep = false;
                open(stream, buffer).await?
            }
        };
        return Ok(answer);
    }
}

fn head(buffer: &[u8], head_only: bool) -> io::Result<Option<(Answer, Length, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let size = match parsed.parse(buffer).map_err(|_| bad("no answer"))? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(size) => size,
    };
    let status = parsed.code.unwrap_or(0);
    let mut answer = Answer { status, keep: parsed.version == Some(1), ..Answer::default() };
    let (mut exact, mut chunked) = (None, false);
    for field in parsed.headers.iter() {
        let name = field.name.to_ascii_lowercase();
        let text = std::str::from_utf8(field.value).unwrap_or("").trim();
        match name.as_str() {
            "content-length" => {
                let told = text.parse::<u64>().map_err(|_| bad("length"))?;
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
    let length = match (empty, chunked, exact) {
        (true, ..) => Length::None,
        (_, true, Some(_)) => return Err(bad("length and chunks")),
        (_, true, None) => Length::Chunks,
        (_, _, Some(size)) if size > LARGEST_BODY => return Err(bad("body too large")),
        (_, _, Some(size)) => Length::Exact(size),
        _ => Length::Open,
    };
    Ok(Some((answer, length, size)))
}

/// Requests running and waiting, of `running, waiting, slots`.
fn load(text: &str) -> Option<(u32, u32)> {
    let mut figures = text.split(',').map(|figure| figure.trim().parse::<u32>().ok());
    Some((figures.next()??, figures.next()??))
}

async fn exact(stream: &mut TcpStream, buffer: &mut BytesMut, size: u64) -> io::Result<Bytes> {
    while (buffer.len() as u64) < size {
        more(stream, buffer).await?;
    }
    Ok(buffer.split_to(size as usize).freeze())
}

async fn open(stream: &mut TcpStream, buffer: &mut BytesMut) -> io::Result<Bytes> {
    loop {
        match more(stream, buffer).await {
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(buffer.split().freeze()),
            Err(error) => return Err(error),
            Ok(()) if buffer.len() as u64 > LARGEST_BODY => return Err(bad("body too large")),
            Ok(()) => {}
        }
    }
}

async fn chunks(stream: &mut TcpStream, buffer: &mut BytesMut) -> io::Result<Bytes> {
    let mut body = BytesMut::new();
    loop {
        let (start, size) = loop {
            match httparse::parse_chunk_size(buffer).map_err(|_| bad("chunk"))? {
                httparse::Status::Complete(found) => break found,
                httparse::Status::Partial if buffer.len() > LARGEST_HEAD => return Err(bad("chunk")),
                httparse::Status::Partial => more(stream, buffer).await?,
            }
        };
        buffer.advance(start);
        if size == 0 {
            return trailer(stream, buffer).await.map(|()| body.freeze());
        }
        if body.len() as u64 + size > LARGEST_BODY {
            return Err(bad("body too large"));
        }
        let chunk = exact(stream, buffer, size + 2).await?;
        let (data, end) = chunk.split_at(size as usize);
        if end != b"\r\n" {
            return Err(bad("chunk's end"));
        }
        body.extend_from_slice(data);
    }
}

/// What follows the last chunk, up to an empty line.
async fn trailer(stream: &mut TcpStream, buffer: &mut BytesMut) -> io::Result<()> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 16];
        match httparse::parse_headers(buffer, &mut headers).map_err(|_| bad("trailer"))? {
            httparse::Status::Complete((size, _)) => {
                buffer.advance(size);
                return Ok(());
            }
            httparse::Status::Partial if buffer.len() > LARGEST_HEAD => return Err(bad("trailer")),
            httparse::Status::Partial => more(stream, buffer).await?,
        }
    }
}
