//! A server that does as little as possible, to measure the minimum cost of a call.

use crate::listen;
use std::io;
use std::net::SocketAddr;
use std::thread;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tonic::transport::server::TcpIncoming;
use tonic::transport::Server;
use tonic::{Request, Response, Status};
use violetyoke_ratelimit_proto as proto;

/// Starts a server on tonic's own transport that answers OK to every call, and neither counts nor records calls.
/// Returns its address. Its thread ends with the process.
///
/// # Errors
/// Those of the listener and of the runtime.
pub fn start_minimal(address: SocketAddr) -> io::Result<SocketAddr> {
    let listener = listen(address)?;
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    thread::spawn(move || {
        let served = runtime.block_on(async {
            let incoming = TcpIncoming::from(TcpListener::from_std(listener)?);
            let service = proto::RateLimitServiceServer::new(AlwaysOk);
            let server = Server::builder().add_service(service);
            server.serve_with_incoming(incoming.with_nodelay(Some(true))).await.map_err(io::Error::other)
        });
        if let Err(error) = served {
            eprintln!("rate limit server: {error}");
        }
    });
    Ok(address)
}

struct AlwaysOk;

#[tonic::async_trait]
impl proto::RateLimitService for AlwaysOk {
    async fn should_rate_limit(
        &self,
        request: Request<proto::RateLimitRequest>,
    ) -> Result<Response<proto::RateLimitResponse>, Status> {
        let code = proto::Code::Ok.into();
        let statuses = request.get_ref().descriptors.iter();
        Ok(Response::new(proto::RateLimitResponse {
            overall_code: code,
            statuses: statuses.map(|_| proto::DescriptorStatus { code, ..Default::default() }).collect(),
            ..Default::default()
        }))
    }
}
