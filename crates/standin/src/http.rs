//! HTTP/1.1 messages as they are on the wire. They are read without a library, so that a test sees what was really
//! sent.

use std::collections::HashMap;
use std::io::BufRead;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// The request line or the status line, without its end.
    pub start_line: String,
    /// Values by header names in lower case; of several fields with the same name, the last one.
    pub headers: HashMap<String, String>,
    /// The body, without the framing of chunks.
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// The status code of a response; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message. Returns `None` at the end of the stream, even within a message, and for a malformed message.
pub fn read_http(reader: &mut impl BufRead) -> Option<HttpMessage> {
    let mut line = String::new();
    let mut message = HttpMessage::default();
    reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
    message.start_line = line.trim_end().to_string();
    loop {
        line.clear();
        reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.insert(name.to_lowercase(), value.trim().to_string());
    }
    if message.headers.get("transfer-encoding").is_some_and(|coding| coding == "chunked") {
        read_chunks(reader, &mut message.body)?;
        return Some(message);
    }
    let length = message.headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Appends the chunks of a body; extensions and trailers are ignored.
fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    let mut line = String::new();
    let mut next_line = |reader: &mut dyn BufRead| {
        line.clear();
        reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
        Some(line.trim_end().to_string())
    };
    loop {
        let size = next_line(reader)?;
        let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..]).ok()?;
        if size == 0 {
            while !next_line(reader)?.is_empty() {}
            return Some(());
        }
        next_line(reader)?;
    }
}
