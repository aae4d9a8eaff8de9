//! The registry under test in virtual time, and a fake store.

use super::network::Network;
use serde_json::json;
use slog::Logger;
use std::cell::RefCell;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;
use violetyoke_api::settings::{Process, Settings};
use violetyoke_registry::daemon::run;
use violetyoke_transport::codec::{decode, encode};
use violetyoke_transport::connection::{accept_all, Event, Sender};
use violetyoke_transport::environment::install;
use violetyoke_transport::lifecycle::Lifecycle;
use violetyoke_transport::messages::{
    Command, ControlState, Epoch, OperationReply, OperationRequest, Outcome, Revision, ShardOwners,
    StoreReply, StoreRequest,
};
use violetyoke_transport::net::listen;

pub(crate) const LOCAL: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
/// The address for operators' calls.
pub(crate) const CONTROL: SocketAddr = SocketAddr::V4(SocketAddrV4::new(LOCAL, 8001));
/// The address of the directory.
pub(crate) const DIRECTORY: SocketAddr = SocketAddr::V4(SocketAddrV4::new(LOCAL, 8002));
/// Long enough for connections to be opened and messages to be handled.
pub(super) const SETTLING: Duration = Duration::from_millis(200);

pub(super) fn settings() -> Settings {
    let text = json!({
        "self": {"node": "core-1", "ip": LOCAL, "zone": "a1", "region": "a"},
        "network": {"listen": {"control": CONTROL, "directory": DIRECTORY}, "internal-ports": [7000, 7009],
                    "seeds": [CONTROL], "zones": {"a1": "a"}},
        "platform": {},
        "terms": {"fault-tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": {}}
    });
    Settings::parse(&text.to_string()).expect("valid settings")
}

pub(super) fn internal_address(process: Process) -> SocketAddrV4 {
    SocketAddrV4::new(LOCAL, settings().internal_port(process))
}

/// Runs a registry, and `test` concurrently.
pub(crate) fn with_registry<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    with_logged_registry(Logger::root(slog::Discard, slog::o!()), test);
}

/// Runs a registry that logs to `log`, and `test` concurrently.
pub(crate) fn with_logged_registry<F: Future<Output = ()>>(log: Logger, test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    install(Some(Rc::new(Network::default())));
    LocalSet::new().block_on(&runtime, async {
        let (lifecycle, _sender) = Lifecycle::new(7);
        spawn_local(run(settings(), lifecycle, log));
        sleep(SETTLING).await;
        test().await;
    });
    install(None);
}

/// A leading store. It answers all commands with the same outcome, or none of them, and requests about operations
/// only when a test makes it reply.
pub(crate) struct FakeStore {
    received: Rc<Received>,
    registry: Rc<RefCell<Option<Sender>>>,
}

/// The commands and requests that a store has received.
#[derive(Default)]
struct Received {
    commands: RefCell<Vec<Command>>,
    operations: RefCell<Vec<ReceivedOperation>>,
}

/// A request about an operation, as a store receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReceivedOperation {
    pub(crate) request_id: u64,
    pub(crate) request: OperationRequest,
}

impl FakeStore {
    pub(crate) async fn start(outcome: Option<Outcome>) -> FakeStore {
        let listener = listen(internal_address(Process::Store).into()).expect("a listener");
        let store = FakeStore { received: Rc::default(), registry: Rc::default() };
        let (received, connection) = (store.received.clone(), store.registry.clone());
        spawn_local(accept_all(listener, move |_| {
            let (received, registry, outcome) = (received.clone(), connection.clone(), outcome.clone());
            move |event| match event {
                Event::Connected(sender) => {
                    sender.send(encode(&leader_status()));
                    *registry.borrow_mut() = Some(sender);
                }
                Event::Message(message) => {
                    let request = decode::<StoreRequest>(&message).expect("a request");
                    received.add(request, outcome.as_ref(), registry.borrow().as_ref());
                }
                Event::Disconnected => {}
            }
        }));
        sleep(2 * SETTLING).await;
        store
    }

    /// Sends the registry a control state with this configuration.
    pub(crate) fn publish(&self, revision: Revision, version: u64, text: &str) {
        let state = ControlState { revision, version, text: text.into(), ..ControlState::default() };
        self.send(&StoreReply::State(state));
    }

    /// Reports another core machine, to which the registry then connects.
    pub(crate) fn announce_machine(&self, machine: Ipv4Addr) {
        self.send(&StoreReply::Status {
            epoch: Epoch(1),
            is_leader: true,
            shard_owners: ShardOwners::default(),
            stores: vec![LOCAL, machine],
        });
    }

    /// Assigns all quota shards to the registry.
    pub(crate) fn assign_shards(&self, fencing_token: Revision) {
        let shard_owners = ShardOwners { fencing_token, registries: vec![LOCAL] };
        self.send(&StoreReply::Status {
            epoch: Epoch(1),
            is_leader: true,
            shard_owners,
            stores: vec![LOCAL],
        });
    }

    fn send(&self, reply: &StoreReply) {
        self.registry.borrow().as_ref().expect("a connection").send(encode(reply));
    }

    /// The commands that were received so far.
    pub(crate) fn executed(&self) -> Vec<Command> {
        self.received.commands.borrow().clone()
    }

    /// Returns the requests about operations that were received since the last call.
    pub(crate) fn take_operations(&self) -> Vec<ReceivedOperation> {
        self.received.operations.take()
    }

    pub(crate) fn reply_to_operation(&self, request_id: u64, reply: OperationReply) {
        self.send(&StoreReply::Operation { request_id, reply });
    }

    /// Ends the connection; the registry opens another one.
    pub(crate) fn disconnect(&self) {
        self.registry.take();
    }
}

impl Received {
    fn add(&self, request: StoreRequest, outcome: Option<&Outcome>, registry: Option<&Sender>) {
        match request {
            StoreRequest::Execute { request_id, command } => {
                self.commands.borrow_mut().push(command);
                if let (Some(outcome), Some(registry)) = (outcome.cloned(), registry) {
                    registry.send(encode(&StoreReply::Completed { request_id, outcome }));
                }
            }
            StoreRequest::Operation { request_id, request } => {
                self.operations.borrow_mut().push(ReceivedOperation { request_id, request });
            }
            _ => {}
        }
    }
}

fn leader_status() -> StoreReply {
    StoreReply::Status {
        epoch: Epoch(1),
        is_leader: true,
        shard_owners: ShardOwners::default(),
        stores: vec![LOCAL],
    }
}
