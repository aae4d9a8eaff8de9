//! Connections to a set of peers, which may grow while a process runs.

use crate::connection::{maintain, Event, Sender};
use std::collections::BTreeMap;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use tokio::task::JoinSet;

/// One connection to each peer, which is reopened whenever it ends. All connections are closed when this is dropped.
///
/// The owner receives the events of all connections. It must report [`Event::Connected`] and [`Event::Disconnected`] back
/// with [`PeerConnections::connected`] and [`PeerConnections::disconnected`]. A process that queues events thus has a sender
/// exactly from the time it handles the first event until it handles the second one.
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
/// // The send fails only while the process ends, when events are no longer handled.
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
    /// One task for each peer. The tasks are aborted when this is dropped.
    tasks: JoinSet<()>,
}

#[derive(Debug, Default)]
struct Peer {
    sender: Option<Sender>,
    generation: u64,
}

impl PeerConnections {
    /// Creates a set without peers. All peers listen on `port`. `on_event` is called with each event and the address of its
    /// peer.
    pub fn new(port: u16, on_event: impl Fn(Ipv4Addr, Event) + 'static) -> PeerConnections {
        PeerConnections { port, on_event: Rc::new(on_event), peers: BTreeMap::new(), tasks: JoinSet::new() }
    }

    /// Starts to maintain a connection to each of these peers that does not have one yet. Must be called within a
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

    /// The owner has received [`Event::Connected`] for a peer.
    pub fn connected(&mut self, peer: Ipv4Addr, sender: Sender) {
        let peer = self.peers.entry(peer).or_default();
        peer.sender = Some(sender);
        peer.generation += 1;
    }

    /// The owner has received [`Event::Disconnected`] for a peer.
    pub fn disconnected(&mut self, peer: Ipv4Addr) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.sender = None;
        }
    }

    /// The sender of the present connection to a peer, if there is one.
    pub fn sender(&self, peer: Ipv4Addr) -> Option<&Sender> {
        self.peers.get(&peer)?.sender.as_ref()
    }

    /// The senders of all present connections, ordered by the addresses of the peers.
    pub fn senders(&self) -> impl Iterator<Item = &Sender> {
        self.peers.values().filter_map(|peer| peer.sender.as_ref())
    }

    /// The number of connections to a peer so far. It distinguishes responses on the present connection from those on earlier
    /// ones.
    pub fn generation(&self, peer: Ipv4Addr) -> u64 {
        self.peers.get(&peer).map_or(0, |peer| peer.generation)
    }
}

impl fmt::Debug for PeerConnections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerConnections").field("port", &self.port).field("peers", &self.peers).finish()
    }
}
