//! A seam for tests of several processes: where `VIOLETYOKE_GATE` names an address, a worker tells there that it
//! has looked at its lease and is about to act, and waits for a byte before it does. So a process can be stopped
//! between the look and the act. Not set, there is nothing of it.

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use violetyoke_ownership::Claim;

/// A gate that nobody opens is passed after that.
const LONGEST: Duration = Duration::from_secs(60);

fn address() -> Option<SocketAddr> {
    static GATE: OnceLock<Option<SocketAddr>> = OnceLock::new();
    *GATE.get_or_init(|| std::env::var("VIOLETYOKE_GATE").ok()?.parse().ok())
}

pub async fn pass(act: &str, claim: &Claim) {
    let Some(address) = address() else { return };
    let point = format!("checked {act} {} {}", claim.name, claim.epoch);
    let work = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(format!("{point}\n").as_bytes()).await?;
        stream.read_u8().await
    };
    let _ = timeout(LONGEST, work).await;
}
