//! Which request heads on a connection state both a length and chunks (RFC 9112, 6.3), from the bytes as they come.
//!
//! Such a head may hide a second request in its body: this server follows the chunks, whoever stood before it
//! perhaps the length. hyper drops the length and does not tell. What is followed here decides nothing but that
//! one question: a message that hyper takes otherwise is one that it turns down.

use std::collections::VecDeque;

/// Bytes of a line that are looked at: no field that matters is longer.
const LOOKED_AT: usize = 64;

#[derive(Debug, Default)]
pub struct Framing {
    part: Part,
    /// The beginning of the line in hand.
    line: Vec<u8>,
    begun: bool,
    length: Option<u64>,
    chunked: bool,
    /// For each head that has ended and has not been asked for, whether it states both.
    heads: VecDeque<bool>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Part {
    #[default]
    Head,
    /// So many bytes of a body, or of a chunk and its line's end, are left.
    Body(u64),
    Chunk(u64),
    Size,
    Trailer,
    /// A length that can't be read: where the next head begins is not known.
    Lost,
}

impl Framing {
    /// Takes what has been read.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.part {
                Part::Lost => return,
                Part::Body(left) | Part::Chunk(left) => {
                    let skipped = left.min(bytes.len() as u64);
                    bytes = &bytes[skipped as usize..];
                    self.part = match (self.part, left - skipped) {
                        (Part::Body(_), 0) => Part::Head,
                        (Part::Body(_), left) => Part::Body(left),
                        (_, 0) => Part::Size,
                        (_, left) => Part::Chunk(left),
                    };
                }
                Part::Head | Part::Size | Part::Trailer => {
                    let end = bytes.iter().position(|byte| *byte == b'\n');
                    let piece = &bytes[..end.unwrap_or(bytes.len())];
                    let room = LOOKED_AT.saturating_sub(self.line.len()).min(piece.len());
                    self.line.extend_from_slice(&piece[..room]);
                    bytes = &bytes[end.map_or(bytes.len(), |end| end + 1)..];
                    if end.is_some() {
                        let line = std::mem::take(&mut self.line);
                        self.part = self.line_ended(line.strip_suffix(b"\r").unwrap_or(&line));
                        // Its room is of use for the next line.
                        self.line = line;
                        self.line.clear();
                    }
                }
            }
        }
    }

    /// Whether the next head in turn is known not to state both.
    pub fn next_head_is_unambiguous(&mut self) -> bool {
        self.heads.pop_front() == Some(false)
    }

    fn line_ended(&mut self, line: &[u8]) -> Part {
        match self.part {
            Part::Head if !line.is_empty() => {
                self.begun = true;
                self.field(line)
            }
            // Empty lines before a request are passed over.
            Part::Head if !self.begun => Part::Head,
            Part::Head => {
                self.begun = false;
                let (length, chunked) = (self.length.take(), std::mem::take(&mut self.chunked));
                self.heads.push_back(length.is_some() && chunked);
                match length {
                    _ if chunked => Part::Size,
                    Some(length) if length > 0 => Part::Body(length),
                    _ => Part::Head,
                }
            }
            Part::Size => {
                let digits = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
                let text = std::str::from_utf8(digits).unwrap_or_default();
                match u64::from_str_radix(text, 16) {
                    Ok(0) => Part::Trailer,
                    Ok(size) => Part::Chunk(size.saturating_add(2)),
                    Err(_) => Part::Lost,
                }
            }
            Part::Trailer if line.is_empty() => Part::Head,
            part => part,
        }
    }

    fn field(&mut self, line: &[u8]) -> Part {
        let value = |name: &[u8]| {
            let (start, rest) = line.split_at_checked(name.len())?;
            start.eq_ignore_ascii_case(name).then_some(rest)
        };
        if let Some(rest) = value(b"content-length") {
            let text = rest.trim_ascii().strip_prefix(b":").unwrap_or(rest).trim_ascii();
            let length = std::str::from_utf8(text).ok().and_then(|text| text.parse().ok());
            let Some(length) = length else { return Part::Lost };
            self.length = Some(length);
        } else if value(b"transfer-encoding").is_some() {
            self.chunked = true;
        }
        Part::Head
    }
}

#[cfg(test)]
mod tests;
