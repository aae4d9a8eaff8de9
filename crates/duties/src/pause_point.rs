//! Pause points for tests of several processes. If `VIOLETYOKE_GATE` is set to an address, a worker that has checked
//! its lease and is about to operate reports to that address, and waits for a byte before it continues. This lets a
//! test stop the process between the check and the operation. If the variable is not set, nothing happens.

use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use violetyoke_ownership::Claim;

/// A worker that the test does not release continues after this time.
const MAX_PAUSE: Duration = Duration::from_secs(60);

fn test_address() -> Option<SocketAddr> {
    static ADDRESS: OnceLock<Option<SocketAddr>> = OnceLock::new();
    *ADDRESS.get_or_init(|| std::env::var("VIOLETYOKE_GATE").ok()?.parse().ok())
}

/// Waits until the test, if there is one, lets the operation go on.
pub(crate) async fn reach(operation: &str, claim: &Claim) {
    let Some(address) = test_address() else { return };
    let report = format!("checked {operation} {} {}\n", claim.shard, claim.epoch);
    let pause = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(report.as_bytes()).await?;
        stream.read_u8().await
    };
    // The work must continue if the test does not listen or does not answer.
    drop(timeout(MAX_PAUSE, pause).await);
}
