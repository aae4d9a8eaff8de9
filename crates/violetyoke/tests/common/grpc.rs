//! A client of the gRPC rate limit service, with one connection.

use super::{until, Service};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::LocalSet;
use violetyoke_ratelimit_proto as proto;
use violetyoke_ratelimit_proto::{Channel, LocalExecutor};

pub fn rate_limit_address(service: &Service) -> SocketAddr {
    let mut address = None;
    until("the rate limit service listens", || {
        address = service.log().iter().find_map(|line| {
            line.strip_prefix("violetyoke: answering rate limit questions on ")
                .map(|text| text.parse().unwrap())
        });
        address.is_some()
    });
    address.unwrap()
}

/// Runs the asynchronous part of a test, for at most 20 s.
pub fn block_on<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let work =
        async { tokio::time::timeout(Duration::from_secs(20), work).await.expect("the test ends in time") };
    LocalSet::new().block_on(&runtime, work)
}

pub type RateLimitClient = proto::RateLimitServiceClient<Channel>;

pub async fn channel(address: SocketAddr) -> Channel {
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let uri = format!("http://{address}").parse().unwrap();
    let (channel, connection) = Channel::open(TokioIo::new(stream), LocalExecutor, uri).await.unwrap();
    tokio::task::spawn_local(async move { drop(connection.await) });
    channel
}

pub async fn client(address: SocketAddr) -> RateLimitClient {
    proto::RateLimitServiceClient::new(channel(address).await)
}

pub fn descriptor(entries: &[(&str, &str)]) -> proto::RateLimitDescriptor {
    let entry = |(key, value): &(&str, &str)| proto::Entry { key: key.to_string(), value: value.to_string() };
    proto::RateLimitDescriptor { entries: entries.iter().map(entry).collect(), ..Default::default() }
}
