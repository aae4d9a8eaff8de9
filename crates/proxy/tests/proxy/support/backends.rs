//! Backends that behave as a test scripts them, byte for byte.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use violetyoke_transport::messages;
use violetyoke_transport::net::{listen, Stream};

/// What a backend does once it has received a whole request.
#[derive(Clone, Debug)]
pub(crate) enum Behavior {
    /// Sends these bytes and waits for the next request.
    Respond(String),
    /// Sends these bytes and closes.
    RespondAndClose(String),
    /// Closes its sending direction alone, and keeps reading.
    HalfClose,
    /// Never responds.
    Hang,
}

impl Behavior {
    /// A script that responds to each request with this body.
    pub(crate) fn respond_ok(
        body: &'static str,
    ) -> impl FnMut(&ReceivedRequest) -> Behavior + Clone + 'static {
        move |request| Behavior::Respond(ok_response(&request.attempt_id, body))
    }
}

/// A request as a backend received it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReceivedRequest {
    /// Which of the backend's connections it came on, from 1.
    pub(crate) connection: usize,
    pub(crate) attempt_id: String,
}

type Script = Rc<RefCell<dyn FnMut(&ReceivedRequest) -> Behavior>>;

#[derive(Clone)]
pub(crate) struct Backend {
    id: &'static str,
    service: &'static str,
    zone: &'static str,
    address: SocketAddrV4,
    received: Rc<RefCell<Vec<ReceivedRequest>>>,
    /// Connections that were opened to it, with requests or without.
    connections_opened: Rc<Cell<usize>>,
}

impl Backend {
    /// A backend that is listed, and at whose address nothing listens.
    pub(crate) fn unreachable(id: &'static str, service: &'static str, number: u8) -> Backend {
        let address = SocketAddrV4::new([10, 8, 0, number].into(), 8080);
        Backend {
            id,
            service,
            zone: "a",
            address,
            received: Rc::default(),
            connections_opened: Rc::default(),
        }
    }

    /// Starts a backend; `number` distinguishes its address.
    pub(crate) fn start(
        id: &'static str,
        service: &'static str,
        number: u8,
        script: impl FnMut(&ReceivedRequest) -> Behavior + 'static,
    ) -> Backend {
        let backend = Backend::unreachable(id, service, number);
        let listener = listen(backend.address.into()).expect("a listener");
        let (received, script): (_, Script) = (backend.received.clone(), Rc::new(RefCell::new(script)));
        let connections_opened = backend.connections_opened.clone();
        tokio::task::spawn_local(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                connection += 1;
                connections_opened.set(connection);
                tokio::task::spawn_local(serve(stream, connection, received.clone(), script.clone()));
            }
        });
        backend
    }

    /// Starts the only backend of the service `finder`, whose requests may be retried.
    pub(crate) fn finder(script: impl FnMut(&ReceivedRequest) -> Behavior + 'static) -> Backend {
        Backend::start("finder-1", "finder", 1, script)
    }

    /// Starts one of two backends of the service `ledger`, whose requests may run only once.
    pub(crate) fn ledger(number: u8, script: impl FnMut(&ReceivedRequest) -> Behavior + 'static) -> Backend {
        let ids = ["", "ledger-1", "ledger-2"];
        Backend::start(ids[usize::from(number)], "ledger", number, script)
    }

    /// The same backend in another zone.
    pub(crate) fn in_zone(self, zone: &'static str) -> Backend {
        Backend { zone, ..self }
    }

    /// The number of connections that were opened to it so far.
    pub(crate) fn connections_opened(&self) -> usize {
        self.connections_opened.get()
    }

    /// Its entry in the platform's list.
    pub(crate) fn list_entry(&self) -> messages::Backend {
        messages::Backend {
            id: self.id.into(),
            service: self.service.into(),
            address: self.address,
            zone: self.zone.into(),
            slots: 4,
            draining: false,
            slow_start_left_ms: 0,
        }
    }

    /// All requests so far.
    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.received.borrow().clone()
    }

    /// The connections on which requests came, one for each request.
    pub(crate) fn connections_used(&self) -> Vec<usize> {
        self.received.borrow().iter().map(|request| request.connection).collect()
    }

    /// How often a request came.
    pub(crate) fn times_received(&self, attempt_id: &str) -> usize {
        self.received.borrow().iter().filter(|request| request.attempt_id == attempt_id).count()
    }
}

async fn serve(
    mut stream: Stream,
    connection: usize,
    received: Rc<RefCell<Vec<ReceivedRequest>>>,
    script: Script,
) {
    let mut buffer = Vec::new();
    while let Some(attempt_id) = read_request(&mut stream, &mut buffer).await {
        let request = ReceivedRequest { connection, attempt_id };
        received.borrow_mut().push(request.clone());
        let behavior = (script.borrow_mut())(&request);
        // Writes fail where the proxy has closed first, which the next read finds.
        match behavior {
            Behavior::Respond(text) => drop(stream.write_all(text.as_bytes()).await),
            Behavior::RespondAndClose(text) => {
                drop(stream.write_all(text.as_bytes()).await);
                return;
            }
            Behavior::HalfClose => drop(stream.shutdown().await),
            Behavior::Hang => std::future::pending().await,
        }
    }
}

/// Reads one request with its body, and returns its attempt id; `None` once the connection has ended.
async fn read_request(stream: &mut Stream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            let field = |name: &str| {
                let line = head.lines().find(|line| line.to_ascii_lowercase().starts_with(name));
                line.and_then(|line| line.split_once(": ")).map(|(_, value)| value.to_owned())
            };
            let body_bytes = field("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            let request_bytes = head.len() + 4 + body_bytes;
            if buffer.len() >= request_bytes {
                buffer.drain(..request_bytes);
                return Some(field("x-attempt-id").unwrap_or_default());
            }
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

/// A complete successful response to that request.
pub(crate) fn ok_response(attempt_id: &str, body: &str) -> String {
    raw_response(200, &format!("x-attempt-id: {attempt_id}\r\nx-server-seal: seal\r\n"), body)
}

/// A response with these headers.
pub(crate) fn raw_response(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status:03} Status\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}
