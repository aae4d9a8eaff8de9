//! Datagrams to and from the tier's other ingresses.

use super::config::Config;
use super::{Message, Messages};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// The longest datagram that is allowed.
const LONGEST: usize = 256;

pub struct Peers {
    socket: Rc<UdpSocket>,
    peers: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl Peers {
    pub fn open(address: SocketAddr, config: &Config, messages: Messages) -> io::Result<Peers> {
        let socket = std::net::UdpSocket::bind(address)
            .map_err(|error| io::Error::new(error.kind(), format!("peer_listen {address}: {error}")))?;
        socket.set_nonblocking(true)?;
        let socket = Rc::new(UdpSocket::from_std(socket)?);
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
        if let Some(address) = address.filter(|_| data.len() <= LONGEST) {
            let _ = self.socket.try_send_to(data, address);
        }
    }
}

async fn receive(socket: Rc<UdpSocket>, peers: Vec<SocketAddr>, messages: Messages) {
    let mut buffer = [0; LONGEST];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, sender)) => {
                let Some(from) = peers.iter().position(|peer| *peer == sender) else { continue };
                let data = buffer[..length].to_vec();
                let _ = messages.send(Message::Peer { from: from as u32, data });
            }
            // An earlier datagram's bounce says nothing about the next one.
            Err(_) => tokio::task::yield_now().await,
        }
    }
}
