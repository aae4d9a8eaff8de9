//! The platform: its list of backends, which lags by 800 ms.

use crate::http::read;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// By how much the list lags behind.
pub const LAG: Duration = Duration::from_millis(800);

/// Starts the platform. `list_at` gives the entries of the list as they stand at a moment, as members of a JSON object.
pub fn start(list_at: Arc<dyn Fn(Instant) -> String + Send + Sync>) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list_at = list_at.clone();
            std::thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(_)) = read(&mut reader) {
                    let entries = list_at(Instant::now().checked_sub(LAG).unwrap_or_else(Instant::now));
                    let body = format!("{{\"instances\":{{{entries}}},\"next-token\":null}}");
                    let head = format!(
                        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                        body.len()
                    );
                    if writer
                        .write_all(head.as_bytes())
                        .and_then(|()| writer.write_all(body.as_bytes()))
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}
