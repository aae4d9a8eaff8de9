//! Messages to registries: from each other, and from proxies.

use super::{BackendList, ProxyRequest, Session};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// From a registry to another: what only the sender knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender's address.
    pub from: Ipv4Addr,
    /// The proxies that have a session with the sender.
    pub sessions: Vec<Session>,
    /// The ids of proxies whose sessions have ended of late.
    pub partitioned: Vec<u32>,
    /// The newest list, or one without backends that reports the last one as still current.
    pub backends: Option<BackendList>,
}

/// What a registry receives on its internal port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RegistryRequest {
    /// From a proxy.
    Proxy(ProxyRequest),
    /// From another registry.
    Registry(Gossip),
}
