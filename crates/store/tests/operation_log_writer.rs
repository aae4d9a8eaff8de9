//! The operation log of a running store, tested with claims that wait for the disk.

#![cfg(test)]

use futures_util::future::LocalBoxFuture;
use futures_util::{Future, FutureExt};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{duplex, DuplexStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};
use violetyoke_api::settings::Process;
use violetyoke_api::Settings;
use violetyoke_transport::codec::{decode, encode};
use violetyoke_transport::connection::{self, Event, Sender};
use violetyoke_transport::environment::{install, AppendLog, Disk, Environment, Incoming};
use violetyoke_transport::lifecycle::Lifecycle;
use violetyoke_transport::messages::{
    ClaimHolder, OperationKey, OperationReply, OperationRequest, StoreReply, StoreRequest,
};

const CLIENT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);
/// Longer than a single store takes to become leader, and than the pauses between write attempts.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// A machine whose operation log refuses entries while it is full. Its disk drops the durable state, which no test
/// needs.
#[derive(Default)]
struct Machine {
    entries: RefCell<Vec<Vec<u8>>>,
    is_full: Cell<bool>,
    refused: Cell<usize>,
    listener: RefCell<Option<UnboundedSender<(DuplexStream, SocketAddr)>>>,
}

/// The environment of the process on this machine.
struct View(Rc<Machine>);

impl Environment for View {
    fn connect(&self, _to: SocketAddr) -> LocalBoxFuture<'static, io::Result<DuplexStream>> {
        let (near, far) = duplex(1 << 16);
        let is_open = self.0.listener.borrow().as_ref().is_some_and(|it| it.send((far, CLIENT)).is_ok());
        async move { is_open.then_some(near).ok_or_else(|| io::ErrorKind::ConnectionRefused.into()) }
            .boxed_local()
    }

    fn listen(&self, _at: SocketAddr) -> io::Result<Incoming> {
        let (sender, incoming) = unbounded_channel();
        *self.0.listener.borrow_mut() = Some(sender);
        Ok(incoming)
    }

    fn disk(&self, _folder: &Path) -> Rc<dyn Disk> {
        Rc::new(View(self.0.clone()))
    }

    fn log(&self, _folder: &Path) -> Rc<dyn AppendLog> {
        Rc::new(View(self.0.clone()))
    }
}

impl Disk for View {
    fn read(&self) -> [Vec<u8>; 2] {
        Default::default()
    }

    fn write_slot(&self, _slot: usize, _bytes: Vec<u8>) -> LocalBoxFuture<'static, io::Result<()>> {
        async { Ok(()) }.boxed_local()
    }
}

impl AppendLog for View {
    fn read(&self) -> Vec<Vec<u8>> {
        self.0.entries.borrow().clone()
    }

    fn append(&self, entry: Vec<u8>) -> LocalBoxFuture<'static, io::Result<()>> {
        let result = if self.0.is_full.get() {
            self.0.refused.set(self.0.refused.get() + 1);
            Err(io::ErrorKind::StorageFull.into())
        } else {
            self.0.entries.borrow_mut().push(entry);
            Ok(())
        };
        async move { result }.boxed_local()
    }
}

fn settings() -> Settings {
    let text = r#"{
        "self": {"node": "core-1", "ip": "10.1.0.1", "zone": "a", "region": "west", "data-dir": "/data", "bootstrap": true},
        "network": {"listen": {}, "internal-ports": [7460, 7475], "seeds": ["10.1.0.1:8083"], "zones": {"a": "west"}},
        "platform": {}, "terms": {"fault-tolerance": {"machines": 0, "zones": 0, "regions": 0}, "bounds": {}}
    }"#;
    Settings::parse(text).expect("settings")
}

/// A connection to the store like that of a registry.
struct Client {
    sender: Sender,
    replies: UnboundedReceiver<OperationReply>,
}

impl Client {
    async fn connect() -> Client {
        let settings = settings();
        let address = std::net::SocketAddrV4::new(settings.local.ip, settings.internal_port(Process::Store));
        let (connected, mut senders) = unbounded_channel();
        let (replied, replies) = unbounded_channel();
        spawn_local(connection::maintain(address, move |event| match event {
            Event::Connected(sender) => connected.send(sender).expect("the first connection"),
            Event::Message(message) => {
                if let Ok(StoreReply::Operation { reply, .. }) = decode(&message) {
                    drop(replied.send(reply));
                }
            }
            Event::Disconnected => {}
        }));
        Client { sender: senders.recv().await.expect("a connection"), replies }
    }

    fn claim(&self, key: &str, request: u64) {
        let request = OperationRequest::Claim {
            key: OperationKey { tenant: "tenant".into(), key: key.into() },
            holder: ClaimHolder { incarnation: 7, request },
            timeout_ms: 60_000,
            is_self_deduplicating: false,
        };
        self.sender.send(encode(&StoreRequest::Operation { request_id: 1, request }));
    }

    /// The next reply; `None` if there is none within `SETTLING_TIME`.
    async fn reply(&mut self) -> Option<OperationReply> {
        timeout(SETTLING_TIME, self.replies.recv()).await.ok().flatten()
    }
}

/// Runs a store on a machine until the client has finished.
fn with_store<F: Future<Output = ()>>(machine: &Rc<Machine>, client: impl FnOnce(Client) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    install(Some(Rc::new(View(machine.clone()))));
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (lifecycle, _sender) = Lifecycle::new(7);
        let log = slog::Logger::root(slog::Discard, slog::o!());
        spawn_local(violetyoke_store::daemon::run(settings(), lifecycle, log));
        sleep(SETTLING_TIME).await;
        client(Client::connect().await).await;
    });
    install(None);
}

/// A grant with the region of this store, the only one that may keep the response.
fn granted() -> OperationReply {
    OperationReply::Granted { store_regions: vec!["west".to_owned()] }
}

/// Guards against a claim that is granted before it is on disk, and against one that is lost because the disk was full.
#[test]
fn claim_is_granted_only_after_a_full_log_accepts_it() {
    let machine = &Rc::new(Machine::default());
    with_store(machine, |mut client| async move {
        machine.is_full.set(true);
        client.claim("order", 1);
        assert!(!matches!(client.reply().await, Some(OperationReply::Granted { .. })));
        assert!(machine.refused.get() > 10, "the append is retried: {} refused", machine.refused.get());
        machine.is_full.set(false);
        sleep(SETTLING_TIME).await;
        client.claim("order", 1);
        assert_eq!(client.reply().await, Some(granted()));
    });
}

/// Guards against a store that forgets granted claims in a restart.
#[test]
fn granted_claim_survives_a_restart() {
    let machine = &Rc::new(Machine::default());
    with_store(machine, |mut client| async move {
        client.claim("order", 1);
        assert_eq!(client.reply().await, Some(granted()));
    });
    with_store(machine, |mut client| async move {
        client.claim("order", 2);
        assert!(matches!(client.reply().await, Some(OperationReply::InProgress { .. })));
        client.claim("other order", 3);
        assert_eq!(client.reply().await, Some(granted()));
    });
}
