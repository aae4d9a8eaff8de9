//! A fake peer of the registry under test.

use super::registry::{internal_address, settings, FakeStore, SETTLING};
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::sleep;
use violetyoke_api::settings::Process;
use violetyoke_transport::codec::{decode, encode};
use violetyoke_transport::connection::{accept_all, maintain, Event, Sender};
use violetyoke_transport::messages::{Backend, BackendList, Gossip, ListDigest, RegistryRequest};
use violetyoke_transport::net::listen;

/// A peer that keeps the reports of the registry under test, and sends its own.
pub(crate) struct FakePeer {
    reports: Rc<RefCell<Vec<Gossip>>>,
    connection: Rc<RefCell<Option<Sender>>>,
}

impl FakePeer {
    pub(crate) const ADDRESS: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

    /// Starts the peer; `store` reports its machine to the registry.
    pub(crate) async fn start(store: &FakeStore) -> FakePeer {
        let reports = Rc::<RefCell<Vec<Gossip>>>::default();
        let port = settings().internal_port(Process::Registry);
        let listener = listen((FakePeer::ADDRESS, port).into()).expect("a listener");
        let received = reports.clone();
        spawn_local(accept_all(listener, move |_| {
            // The connection stays open as long as its sender is kept.
            let (received, sender) = (received.clone(), RefCell::new(None));
            move |event| match event {
                Event::Connected(connected) => *sender.borrow_mut() = Some(connected),
                Event::Disconnected => *sender.borrow_mut() = None,
                Event::Message(message) => match decode(&message).expect("a request") {
                    RegistryRequest::Registry(gossip) => received.borrow_mut().push(gossip),
                    RegistryRequest::Proxy(request) => panic!("no proxy is connected: {request:?}"),
                },
            }
        }));
        let connection = Rc::<RefCell<Option<Sender>>>::default();
        let opened = connection.clone();
        spawn_local(maintain(internal_address(Process::Registry), move |event| {
            if let Event::Connected(sender) = event {
                *opened.borrow_mut() = Some(sender);
            }
        }));
        store.announce_machine(FakePeer::ADDRESS);
        sleep(2 * SETTLING).await;
        FakePeer { reports, connection }
    }

    /// Reports a list of backends as if it had just been received from the platform.
    pub(crate) fn report_list(&self, backends: Vec<Backend>) {
        let list = BackendList { digest: ListDigest(backends.len() as u64 + 1), age_ms: 0, backends };
        let gossip = Gossip {
            from: FakePeer::ADDRESS,
            sessions: Vec::new(),
            partitioned: Vec::new(),
            backends: Some(list),
        };
        let connection = self.connection.borrow();
        connection.as_ref().expect("a connection").send(encode(&RegistryRequest::Registry(gossip)));
    }

    /// Returns the reports that were received since the last call.
    pub(crate) fn take_reports(&self) -> Vec<Gossip> {
        self.reports.take()
    }
}
