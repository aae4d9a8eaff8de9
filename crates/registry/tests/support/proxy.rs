//! Fake proxies of the registry under test.

use super::registry::{internal_address, SETTLING};
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, Instant};
use violetyoke_api::settings::Process;
use violetyoke_transport::codec::{decode, encode};
use violetyoke_transport::connection::{maintain, Event, Sender};
use violetyoke_transport::messages::{ProxyReply, ProxyRequest, RegistryRequest, Session};

/// A proxy that sends only the requests which a test makes.
pub(crate) struct FakeProxy {
    /// Maintains the connection.
    task: AbortHandle,
    connection: Rc<RefCell<Option<Sender>>>,
    received: Rc<RefCell<Vec<(Instant, ProxyReply)>>>,
}

impl FakeProxy {
    pub(crate) async fn start(front_address: SocketAddrV4, is_ready: bool) -> FakeProxy {
        let proxy = FakeProxy::connect();
        sleep(SETTLING).await;
        proxy.begin_session(front_address, is_ready);
        sleep(SETTLING).await;
        proxy
    }

    /// Begins the session, or updates it.
    pub(crate) fn begin_session(&self, front_address: SocketAddrV4, is_ready: bool) {
        let session = Session {
            node: front_address.to_string(),
            front_address,
            zone: "a1".into(),
            region: "a".into(),
            is_ready,
        };
        self.send(ProxyRequest::Hello(session));
    }

    /// Starts a proxy that opens its connection and sends nothing.
    pub(crate) fn connect() -> FakeProxy {
        let connection = Rc::<RefCell<Option<Sender>>>::default();
        let received = Rc::<RefCell<Vec<(Instant, ProxyReply)>>>::default();
        let (current_sender, replies) = (connection.clone(), received.clone());
        let task = spawn_local(maintain(internal_address(Process::Registry), move |event| match event {
            Event::Connected(sender) => *current_sender.borrow_mut() = Some(sender),
            Event::Message(message) => {
                let reply = decode::<ProxyReply>(&message).expect("a reply");
                replies.borrow_mut().push((Instant::now(), reply));
            }
            Event::Disconnected => *current_sender.borrow_mut() = None,
        }));
        FakeProxy { task: task.abort_handle(), connection, received }
    }

    /// Ends the connections of all these proxies at once.
    pub(crate) fn disconnect_all(proxies: &[FakeProxy]) {
        for proxy in proxies {
            proxy.task.abort();
        }
    }

    pub(crate) fn send(&self, request: ProxyRequest) {
        let connection = self.connection.borrow();
        connection.as_ref().expect("a connection").send(encode(&RegistryRequest::Proxy(request)));
    }

    /// Waits for `time`. Returns the replies that were received since the last call, each with the time from the
    /// start of this call until its arrival.
    pub(crate) async fn replies_within(&self, time: Duration) -> Vec<(Duration, ProxyReply)> {
        let started = Instant::now();
        sleep(time).await;
        let received = self.received.borrow_mut().drain(..).collect::<Vec<_>>();
        received.into_iter().map(|(at, reply)| (at.saturating_duration_since(started), reply)).collect()
    }
}
