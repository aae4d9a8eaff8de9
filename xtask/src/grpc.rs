//! Rate limit questions over one HTTP/2 connection.

use crate::process::Result;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use violetyoke_ratelimit_proto as proto;
use violetyoke_ratelimit_proto::{Channel, LocalExecutor};

pub async fn channel(address: SocketAddr) -> Result<Channel> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let uri = format!("http://{address}").parse()?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (channel, connection) = Channel::open(io, LocalExecutor, uri).await?;
    tokio::task::spawn_local(async move { drop(connection.await) });
    Ok(channel)
}

/// A question about one descriptor.
pub fn question(entries: &[(&str, &str)]) -> proto::RateLimitRequest {
    let entry = |(key, value): &(&str, &str)| proto::Entry { key: key.to_string(), value: value.to_string() };
    let entries = entries.iter().map(entry).collect();
    let descriptors = vec![proto::RateLimitDescriptor { entries, ..Default::default() }];
    proto::RateLimitRequest { domain: "rooms".into(), descriptors, hits_addend: 0 }
}

/// Whether it was answered with OK; none: it was not answered.
pub async fn ask(channel: &Channel, request: proto::RateLimitRequest) -> Option<bool> {
    let mut client = proto::RateLimitServiceClient::new(channel.clone());
    let answer = tokio::time::timeout(Duration::from_secs(2), client.should_rate_limit(request));
    Some(answer.await.ok()?.ok()?.into_inner().overall_code() == proto::Code::Ok)
}
