//! Detects request heads with both `Content-Length` and `Transfer-Encoding` (RFC 9112, section 6.3) in the
//! bytes read from a client connection.
//!
//! Such a head allows request smuggling: this server frames the body by its chunks, while a proxy in front of
//! it may have used the length. hyper drops `Content-Length` in that case without reporting it, so the raw
//! bytes are parsed here as well. The result serves this one check only: a message that hyper would frame
//! differently is one that it rejects.

use std::collections::VecDeque;

/// Bytes of a line that are kept for parsing: no relevant header field is longer.
const MAX_LINE_PREFIX: usize = 64;

#[derive(Debug, Default)]
pub struct FramingMonitor {
    state: State,
    /// The first bytes of the line that is being read.
    line: Vec<u8>,
    /// Whether a non-empty line of the current head has been read.
    head_started: bool,
    /// `Content-Length` of the current head.
    length: Option<u64>,
    /// Whether the current head has a `Transfer-Encoding` field.
    chunked: bool,
    /// For each complete head not yet returned by `next_head_is_unambiguous`: whether it has both fields.
    ambiguous_heads: VecDeque<bool>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    #[default]
    Head,
    /// A body of known length; the value is the number of bytes left.
    Body(u64),
    /// A chunk with its CRLF; the value is the number of bytes left.
    Chunk(u64),
    /// The line with a chunk's size.
    ChunkSize,
    /// The trailer section behind the last chunk.
    Trailer,
    /// A length could not be parsed, so the start of the next head is unknown.
    Unparseable,
}

impl FramingMonitor {
    /// Parses bytes read from the connection, which may be cut anywhere.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.state {
                State::Unparseable => return,
                State::Body(remaining) | State::Chunk(remaining) => {
                    let skipped = remaining.min(bytes.len() as u64);
                    bytes = &bytes[skipped as usize..];
                    self.state = match (self.state, remaining - skipped) {
                        (State::Body(_), 0) => State::Head,
                        (State::Body(_), remaining) => State::Body(remaining),
                        (_, 0) => State::ChunkSize,
                        (_, remaining) => State::Chunk(remaining),
                    };
                }
                State::Head | State::ChunkSize | State::Trailer => {
                    let end = bytes.iter().position(|byte| *byte == b'\n');
                    let fragment = &bytes[..end.unwrap_or(bytes.len())];
                    let kept = MAX_LINE_PREFIX.saturating_sub(self.line.len()).min(fragment.len());
                    self.line.extend_from_slice(&fragment[..kept]);
                    bytes = &bytes[end.map_or(bytes.len(), |end| end + 1)..];
                    if end.is_some() {
                        let line = std::mem::take(&mut self.line);
                        self.state = self.on_line_end(line.strip_suffix(b"\r").unwrap_or(&line));
                        // The buffer is reused for the next line.
                        self.line = line;
                        self.line.clear();
                    }
                }
            }
        }
    }

    /// Whether the next complete head is known not to have both fields. Call it once for each head, in order.
    pub fn next_head_is_unambiguous(&mut self) -> bool {
        self.ambiguous_heads.pop_front() == Some(false)
    }

    fn on_line_end(&mut self, line: &[u8]) -> State {
        match self.state {
            State::Head if !line.is_empty() => {
                self.head_started = true;
                self.parse_field(line)
            }
            // Empty lines before a request line are ignored.
            State::Head if !self.head_started => State::Head,
            State::Head => {
                self.head_started = false;
                let (length, chunked) = (self.length.take(), std::mem::take(&mut self.chunked));
                self.ambiguous_heads.push_back(length.is_some() && chunked);
                match length {
                    _ if chunked => State::ChunkSize,
                    Some(length) if length > 0 => State::Body(length),
                    _ => State::Head,
                }
            }
            State::ChunkSize => {
                let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
                let text = std::str::from_utf8(digits).unwrap_or_default();
                match u64::from_str_radix(text, 16) {
                    Ok(0) => State::Trailer,
                    Ok(size) => State::Chunk(size.saturating_add(2)),
                    Err(_) => State::Unparseable,
                }
            }
            State::Trailer if line.is_empty() => State::Head,
            state => state,
        }
    }

    fn parse_field(&mut self, line: &[u8]) -> State {
        let value = |name: &[u8]| {
            let (start, rest) = line.split_at_checked(name.len())?;
            start.eq_ignore_ascii_case(name).then_some(rest)
        };
        if let Some(rest) = value(b"content-length") {
            let text = rest.trim_ascii().strip_prefix(b":").unwrap_or(rest).trim_ascii();
            let length = std::str::from_utf8(text).ok().and_then(|text| text.parse().ok());
            let Some(length) = length else { return State::Unparseable };
            self.length = Some(length);
        } else if value(b"transfer-encoding").is_some() {
            self.chunked = true;
        }
        State::Head
    }
}

#[cfg(test)]
mod tests;
