//! Datagrams to and from the other ingresses of the tier.

use super::config::Config;
use super::{Message, Messages};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// The platform's maximum length of a datagram (bytes).
const MAX_DATAGRAM_LENGTH: usize = 256;

/// The UDP socket for peer messages.
pub struct PeerSocket {
    socket: Rc<UdpSocket>,
    /// The addresses of the ingresses, by their numbers.
    peers: Vec<SocketAddr>,
    /// The address that reaches all peers.
    broadcast_address: Option<SocketAddr>,
}

impl PeerSocket {
    pub fn open(address: SocketAddr, config: &Config, messages: Messages) -> io::Result<PeerSocket> {
        let bind = || {
            let socket = Socket::new(Domain::for_address(address), Type::DGRAM, None)?;
            // During a hot restart, the newer process binds the address while this one still has it open. Datagrams then go
            // to the newer process.
            socket.set_reuse_address(config.passed.is_some())?;
            socket.set_nonblocking(true)?;
            socket.bind(&address.into())?;
            UdpSocket::from_std(socket.into())
        };
        let socket = bind()
            .map_err(|error| io::Error::new(error.kind(), format!("peer_listen {address}: {error}")))?;
        let socket = Rc::new(socket);
        let peers = PeerSocket {
            socket: socket.clone(),
            peers: config.peers.clone(),
            broadcast_address: config.peers_all,
        };
        tokio::task::spawn_local(receive(socket, config.peers.clone(), messages));
        Ok(peers)
    }

    /// Sends a message to one peer, or to all (`None`). A message that cannot be sent now is dropped, as any datagram may be
    /// lost.
    pub fn send(&self, receiver: Option<u16>, data: &[u8]) {
        let address = match receiver {
            Some(number) => self.peers.get(usize::from(number)).copied(),
            None => self.broadcast_address,
        };
        if let Some(address) = address.filter(|_| data.len() <= MAX_DATAGRAM_LENGTH) {
            let _ = self.socket.try_send_to(data, address);
        }
    }
}

async fn receive(socket: Rc<UdpSocket>, peers: Vec<SocketAddr>, messages: Messages) {
    let mut buffer = [0; MAX_DATAGRAM_LENGTH];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, sender)) => {
                let Some(from) = peers.iter().position(|peer| *peer == sender) else { continue };
                let data = buffer[..length].to_vec();
                let _ = messages.send(Message::FromPeer { from: from as u32, data });
            }
            // An error reports that an earlier datagram was undeliverable. It says nothing about the next one.
            Err(_) => tokio::task::yield_now().await,
        }
    }
}
