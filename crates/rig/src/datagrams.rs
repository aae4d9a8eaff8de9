//! A UDP link: the words that ingresses send each other, from one address to another, through a relay that drops,
//! delays, doubles or holds them.

use std::io;
use std::net::{SocketAddr, UdpSocket as StdSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;
use tokio::time::sleep;

/// What happens to datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fate {
    pub dropped: bool,
    pub doubled: bool,
    pub delay: Duration,
}

#[derive(Clone)]
pub struct Datagrams {
    pub address: SocketAddr,
    fate: Arc<Mutex<Fate>>,
}

impl Datagrams {
    /// What comes to `address` goes on to `to`, and is sent from an address of the relay's own.
    pub fn start(runtime: &Handle, to: SocketAddr) -> io::Result<Datagrams> {
        let _entered = runtime.enter();
        let socket = StdSocket::bind(violetyoke_standin::any())?;
        socket.set_nonblocking(true)?;
        let socket = Arc::new(UdpSocket::from_std(socket)?);
        let address = socket.local_addr()?;
        let fate: Arc<Mutex<Fate>> = Arc::default();
        let shared = fate.clone();
        runtime.spawn(async move {
            let mut buffer = vec![0; 2048];
            while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
                let fate = *shared.lock().unwrap_or_else(PoisonError::into_inner);
                let (socket, data) = (socket.clone(), buffer[..length].to_vec());
                if fate.dropped {
                    continue;
                }
                tokio::spawn(async move {
                    sleep(fate.delay).await;
                    for _ in 0..if fate.doubled { 2 } else { 1 } {
                        let _ = socket.send_to(&data, to).await;
                    }
                });
            }
        });
        Ok(Datagrams { address, fate })
    }

    pub fn set(&self, fate: Fate) {
        *self.fate.lock().unwrap_or_else(PoisonError::into_inner) = fate;
    }
}
