//! HTTP messages as they stand on the wire, read without a library: a test must see what was really sent.

use std::collections::HashMap;
use std::io::BufRead;

/// One HTTP message: its first line, headers with lower-case names, and body.
#[derive(Clone, Debug, Default)]
pub struct Http {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Http {
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; none at the end of the stream or in the middle of a message.
pub fn read_http(reader: &mut impl BufRead) -> Option<Http> {
    let mut line = String::new();
    let mut http = Http::default();
    reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
    http.first = line.trim_end().to_string();
    loop {
        line.clear();
        reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        http.headers.insert(name.to_lowercase(), value.trim().to_string());
    }
    let length = http.headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    http.body = vec![0; length];
    std::io::Read::read_exact(reader, &mut http.body).ok()?;
    Some(http)
}
