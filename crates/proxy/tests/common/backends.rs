//! Backends that answer each request as a test says, byte for byte.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use violetyoke_transport::messages;
use violetyoke_transport::net::{listen, Stream};

/// What a backend does with a request that has come whole.
#[derive(Clone, Debug)]
pub enum Act {
    /// Sends these bytes and goes on.
    Say(String),
    /// Sends these bytes and closes.
    SayAndClose(String),
    /// Closes its own way only, and keeps reading.
    HalfClose,
    /// Never answers.
    Silence,
}

/// A request as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// On which of its connections.
    pub connection: usize,
    pub id: String,
    pub body: usize,
}

type Script = Rc<RefCell<dyn FnMut(&Seen) -> Act>>;

#[derive(Clone)]
pub struct Backend {
    pub id: &'static str,
    pub service: &'static str,
    pub address: SocketAddrV4,
    seen: Rc<RefCell<Vec<Seen>>>,
}

impl Backend {
    /// A backend in the list at whose address nothing listens.
    pub fn absent(id: &'static str, service: &'static str, number: u8) -> Backend {
        let address = SocketAddrV4::new([10, 8, 0, number].into(), 8080);
        Backend { id, service, address, seen: Rc::default() }
    }

    pub fn start(
        id: &'static str,
        service: &'static str,
        number: u8,
        script: impl FnMut(&Seen) -> Act + 'static,
    ) -> Backend {
        let backend = Backend::absent(id, service, number);
        let listener = listen(backend.address.into()).expect("a place");
        let (seen, script): (_, Script) = (backend.seen.clone(), Rc::new(RefCell::new(script)));
        tokio::task::spawn_local(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                connection += 1;
                tokio::task::spawn_local(serve(stream, connection, seen.clone(), script.clone()));
            }
        });
        backend
    }

    pub fn line(&self) -> messages::Backend {
        messages::Backend {
            id: self.id.into(),
            service: self.service.into(),
            address: self.address,
            zone: "a".into(),
            slots: 4,
            draining: false,
            slow_start_left_ms: 0,
        }
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen.borrow().clone()
    }

    /// How often a request has come.
    pub fn times(&self, id: &str) -> usize {
        self.seen.borrow().iter().filter(|seen| seen.id == id).count()
    }
}

async fn serve(mut stream: Stream, connection: usize, seen: Rc<RefCell<Vec<Seen>>>, script: Script) {
    let mut bytes = Vec::new();
    while let Some((id, body)) = request(&mut stream, &mut bytes).await {
        let one = Seen { connection, id, body };
        seen.borrow_mut().push(one.clone());
        let act = (script.borrow_mut())(&one);
        match act {
            Act::Say(text) => drop(stream.write_all(text.as_bytes()).await),
            Act::SayAndClose(text) => {
                // The proxy may have closed first.
                let _ = stream.write_all(text.as_bytes()).await;
                return;
            }
            Act::HalfClose => drop(stream.shutdown().await),
            Act::Silence => std::future::pending().await,
        }
    }
}

/// The next request's id and the size of its body; nothing once the connection has ended.
async fn request(stream: &mut Stream, bytes: &mut Vec<u8>) -> Option<(String, usize)> {
    loop {
        let text = String::from_utf8_lossy(bytes).into_owned();
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            let field = |name: &str| {
                let line = head.lines().find(|line| line.to_ascii_lowercase().starts_with(name));
                line.and_then(|line| line.split_once(": ")).map(|(_, value)| value.to_owned())
            };
            let body = field("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
            let whole = head.len() + 4 + body;
            if bytes.len() >= whole {
                bytes.drain(..whole);
                return Some((field("x-attempt-id").unwrap_or_default(), body));
            }
        }
        if stream.read_buf(bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// A backend of bookings that answers as told.
pub fn ledger(number: u8, script: impl FnMut(&Seen) -> Act + 'static) -> Backend {
    let ids = ["", "ledger-1", "ledger-2"];
    Backend::start(ids[usize::from(number)], "ledger", number, script)
}

/// A whole answer to that request.
pub fn ok(id: &str, body: &str) -> String {
    answer(200, &format!("x-attempt-id: {id}\r\nx-server-seal: seal\r\n"), body)
}

/// An answer with those headers.
pub fn answer(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status:03} Status\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}
