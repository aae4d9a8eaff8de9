//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response: its first line, its fields with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("/")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; `None` at the end of the stream.
pub fn read(stream: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { start: line.trim_end().to_owned(), ..Message::default() };
    loop {
        line.clear();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let field = line.trim_end();
        if field.is_empty() {
            break;
        }
        if let Some((name, value)) = field.split_once(':') {
            message.fields.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if message.field("transfer-encoding").is_some() {
        loop {
            line.clear();
            stream.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.field("content-length").and_then(|length| length.parse().ok()) {
        message.body = vec![0; length];
        stream.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Writes a response.
pub fn respond(out: &mut impl Write, status: u16, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} answer\r\n").into_bytes();
    for (name, value) in fields {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    out.write_all(&bytes)
}

/// A kept connection.
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    pub fn open(to: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1).min(timeout))?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        Ok(Connection(BufReader::new(stream)))
    }

    /// Sends one request and reads its response.
    pub fn call(&mut self, method: &str, target: &str, fields: &[(&str, &str)], body: &[u8]) -> io::Result<Message> {
        let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
        if !fields.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
            bytes.extend_from_slice(b"Host: registry\r\n");
        }
        for (name, value) in fields {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        self.0.get_mut().write_all(&bytes)?;
        read(&mut self.0)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Sends one request on a connection of its own, and reads the response.
pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    Connection::open(to, timeout)?.call(method, target, fields, body)
}
