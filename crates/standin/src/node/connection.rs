//! A connection of a node: requests, injected faults and responses.

use super::{Fault, Server};
use crate::http::{read_http, HttpMessage};
use crate::{lock, reset_on_drop};
use std::io::{self, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::PoisonError;

/// The parts of a response's head that differ between responses.
struct Head {
    status: &'static str,
    /// Header fields, each ended by CRLF.
    fields: &'static str,
}

const OK: Head = Head { status: "200 OK", fields: "" };
const FAILED: Head = Head { status: "500 Internal Server Error", fields: "" };
const DECLINED: Head = Head { status: "503 Service Unavailable", fields: "Srv-Declined: 1\r\n" };

impl Server {
    pub(super) fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_http(&mut reader) {
            let Some(id) = request.headers.get("req-id") else {
                stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            };
            match self.record(id) {
                Fault::None => self.work(&mut stream, &request, id)?,
                Fault::Error => self.work_and_fail(&mut stream, id)?,
                Fault::Decline => self.respond(&mut stream, &DECLINED, b"")?,
                Fault::Spoil => return stream.write_all(b"\x00\x01 rubbish \xff\r\n\r\n more of it"),
                Fault::Hang => {
                    self.wait_for_end_of_hang();
                    reset_on_drop(&stream);
                    return Ok(());
                }
                Fault::Reset | Fault::Closed => {
                    reset_on_drop(&stream);
                    return Ok(());
                }
            }
        }
        // The peer sends no more requests, but may still read responses: the connection stays open until the peer
        // closes it.
        reader.read(&mut [0; 1]).map(drop)
    }

    /// Records a complete request. Returns the fault that applies to it.
    fn record(&self, id: &str) -> Fault {
        let mut state = lock(&self.state);
        state.received.push(id.to_string());
        state.fault
    }

    /// Waits until the fault ends. The connection is not read meanwhile, so that its end is noticed only afterwards.
    fn wait_for_end_of_hang(&self) {
        let waited = self.changed.wait_while(lock(&self.state), |state| state.fault == Fault::Hang);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    fn work(&self, stream: &mut TcpStream, request: &HttpMessage, id: &str) -> io::Result<()> {
        match self.execute(id) {
            Ok(()) => self.respond(stream, &OK, &self.body(request, id)),
            Err(_declined) => self.respond(stream, &DECLINED, b""),
        }
    }

    fn work_and_fail(&self, stream: &mut TcpStream, id: &str) -> io::Result<()> {
        let head = self.execute(id).map_or(&DECLINED, |()| &FAILED);
        self.respond(stream, head, b"")
    }

    fn body(&self, request: &HttpMessage, id: &str) -> Vec<u8> {
        let line = request.start_line.rsplit_once(' ').map_or(request.start_line.as_str(), |(line, _)| line);
        let mut body =
            format!("{} answers {line} ({id}, {} bytes)\n", self.name, request.body.len()).into_bytes();
        body.resize(body.len().max(self.shape.min_body_bytes), b'.');
        body
    }

    fn respond(&self, stream: &mut TcpStream, head: &Head, body: &[u8]) -> io::Result<()> {
        let in_flight = lock(&self.state).in_flight.now;
        let (Head { status, fields }, length) = (head, body.len());
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {length}\r\nSrv-Load: inflight={in_flight}\r\n{fields}\r\n"
        );
        let mut message = head.into_bytes();
        message.extend_from_slice(body);
        stream.write_all(&message)
    }
}
