//! Connections to a set of peers that may grow while a process runs.

use crate::connection::{maintain, Event, Sender};
use std::collections::BTreeMap;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use tokio::task::JoinSet;

/// One connection to each peer, opened again whenever it ends. All of them end when this is dropped.
///
/// The owner gets the events of all connections, and hands those that concern the connection itself back by
/// [`PeerConnections::connected`] and [`PeerConnections::disconnected`]: so a process whose events go through a queue has a
/// sender exactly from when it has handled the one event until it has handled the other.
///
/// ```no_run
/// use bytes::Bytes;
/// use std::net::Ipv4Addr;
/// use tokio::sync::mpsc::unbounded_channel;
/// use violetyoke_transport::connection::Event;
/// use violetyoke_transport::peers::PeerConnections;
///
/// # async fn example() {
/// let (sender, mut events) = unbounded_channel();
/// // The events end with the process: nothing is lost that anybody could act on.
/// let mut peers = PeerConnections::new(7000, move |peer, event| drop(sender.send((peer, event))));
/// peers.connect_to([Ipv4Addr::new(10, 0, 0, 2), Ipv4Addr::new(10, 0, 0, 3)]);
/// while let Some((peer, event)) = events.recv().await {
///     match event {
///         Event::Connected(sender) => peers.connected(peer, sender),
///         Event::Disconnected => peers.disconnected(peer),
///         Event::Message(message) => println!("{} bytes from {peer}", message.len()),
///     }
///     peers.senders().for_each(|sender| sender.send(Bytes::from_static(b"to all that are connected")));
/// }
/// # }
/// ```
pub struct PeerConnections {
    port: u16,
    on_event: Rc<dyn Fn(Ipv4Addr, Event)>,
    peers: BTreeMap<Ipv4Addr, Peer>,
    /// One task for each peer, which runs as long as this value lives.
    tasks: JoinSet<()>,
}

#[derive(Debug, Default)]
struct Peer {
    sender: Option<Sender>,
    generation: u64,
}

impl PeerConnections {
    /// No connections yet. All peers listen at `port`; `on_event` gets each event with the address of its peer.
    pub fn new(port: u16, on_event: impl Fn(Ipv4Addr, Event) + 'static) -> PeerConnections {
        PeerConnections { port, on_event: Rc::new(on_event), peers: BTreeMap::new(), tasks: JoinSet::new() }
    }

    /// Begins to maintain a connection to each of these peers that has none. Has to be called within a
    /// [`tokio::task::LocalSet`].
    pub fn connect_to(&mut self, peers: impl IntoIterator<Item = Ipv4Addr>) {
        for peer in peers {
            if self.peers.contains_key(&peer) {
                continue;
            }
            self.peers.insert(peer, Peer::default());
            let on_event = self.on_event.clone();
            let address = SocketAddrV4::new(peer, self.port);
            self.tasks.spawn_local(maintain(address, move |event| on_event(peer, event)));
        }
    }

    /// The owner has received [`Event::Connected`] for that peer.
    pub fn connected(&mut self, peer: Ipv4Addr, sender: Sender) {
        let peer = self.peers.entry(peer).or_default();
        peer.sender = Some(sender);
        peer.generation += 1;
    }

    /// The owner has received [`Event::Disconnected`] for that peer.
    pub fn disconnected(&mut self, peer: Ipv4Addr) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.sender = None;
        }
    }

    /// The sender of the present connection to a peer, if there is one.
    pub fn sender(&self, peer: Ipv4Addr) -> Option<&Sender> {
        self.peers.get(&peer)?.sender.as_ref()
    }

    /// The senders of all present connections, in the order of their peers' addresses.
    pub fn senders(&self) -> impl Iterator<Item = &Sender> {
        self.peers.values().filter_map(|peer| peer.sender.as_ref())
    }

    /// How many connections to a peer there have been: it tells responses on the present connection from those on an
    /// earlier one.
    pub fn generation(&self, peer: Ipv4Addr) -> u64 {
        self.peers.get(&peer).map_or(0, |peer| peer.generation)
    }
}

impl fmt::Debug for PeerConnections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerConnections").field("port", &self.port).field("peers", &self.peers).finish()
    }
}
