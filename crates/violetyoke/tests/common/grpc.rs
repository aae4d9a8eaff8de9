//! A client of the rate limit service, of tonic's on one connection.

use super::{until, Service};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::LocalSet;
use violetyoke_ratelimit_proto as proto;
use violetyoke_ratelimit_proto::{Channel, LocalExecutor};

pub fn asked_at(service: &Service) -> SocketAddr {
    let mut address = None;
    until("the service answers questions", || {
        address = service.log().iter().find_map(|line| {
            line.strip_prefix("violetyoke: answering rate limit questions on ")
                .map(|text| text.parse().unwrap())
        });
        address.is_some()
    });
    address.unwrap()
}

/// Runs a test's asynchronous part, for so long at most.
pub fn block<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let work = async { tokio::time::timeout(Duration::from_secs(20), work).await.expect("in time") };
    LocalSet::new().block_on(&runtime, work)
}

pub type Asker = proto::RateLimitServiceClient<Channel>;

pub async fn channel(address: SocketAddr) -> Channel {
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let uri = format!("http://{address}").parse().unwrap();
    let (channel, connection) = Channel::open(TokioIo::new(stream), LocalExecutor, uri).await.unwrap();
    tokio::task::spawn_local(async move { drop(connection.await) });
    channel
}

pub async fn client(address: SocketAddr) -> Asker {
    proto::RateLimitServiceClient::new(channel(address).await)
}

pub fn descriptor(entries: &[(&str, &str)]) -> proto::RateLimitDescriptor {
    let entry = |(key, value): &(&str, &str)| proto::Entry { key: key.to_string(), value: value.to_string() };
    proto::RateLimitDescriptor { entries: entries.iter().map(entry).collect(), ..Default::default() }
}
