//! Datagrams to and from the tier's other ingresses.

use super::config::Config;
use super::{Message, Messages};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// The longest datagram that is allowed.
const MAX_STREAMED_BODY: usize = 256;

pub struct Peers {
    socket: Rc<UdpSocket>,
    peers: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl Peers {
    pub fn open(address: SocketAddr, config: &Config, messages: Messages) -> io::Result<Peers> {
        let bind = || {
            let socket = Socket::new(Domain::for_address(address), Type::DGRAM, None)?;
            // A successor binds the address while this process still has it; what comes is then the newer one's.
            socket.set_reuse_address(config.passed.is_some())?;
            socket.set_nonblocking(true)?;
            socket.bind(&address.into())?;
            UdpSocket::from_std(socket.into())
        };
        let bound = bind()
            .map_err(|error| io::Error::new(error.kind(), format!("peer_listen {address}: {error}")))?;
        let socket = Rc::new(bound);
        let peers = Peers { socket: socket.clone(), peers: config.peers.clone(), all: config.peers_all };
        tokio::task::spawn_local(receive(socket, config.peers.clone(), messages));
        Ok(peers)
    }

    /// Sends to one ingress, or to all; what cannot go out now is lost, as datagrams may be.
    pub fn tell(&self, to: Option<u16>, data: &[u8]) {
        let address = match to {
            Some(number) => self.peers.get(usize::from(number)).copied(),
            None => self.all,
        };
        if let Some(address) = address.filter(|_| data.len() <= MAX_STREAMED_BODY) {
            let _ = self.socket.try_send_to(data, address);
        }
    }
}

async fn receive(socket: Rc<UdpSocket>, peers: Vec<SocketAddr>, messages: Messages) {
    let mut buffer = [0; MAX_STREAMED_BODY];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, sender)) => {
                let Some(from) = peers.iter().position(|peer| *peer == sender) else { continue };
                let data = buffer[..length].to_vec();
                let _ = messages.send(Message::FromPeer { from: from as u32, data });
            }
            // An earlier datagram's bounce says nothing about the next one.
            Err(_) => tokio::task::yield_now().await,
        }
    }
}
