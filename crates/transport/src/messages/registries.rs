//! Messages to registries: from each other, and from proxies.

use super::{BackendList, ProxyRequest, Session};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A message from one registry to another, with information that only the sender has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The address of the sender.
    pub from: Ipv4Addr,
    /// The proxies that have a session with the sender.
    pub sessions: Vec<Session>,
    /// The ids of proxies whose sessions have recently ended.
    pub partitioned: Vec<u32>,
    /// The newest backend list. If the list has not changed since the last message, it is sent without backends.
    pub backends: Option<BackendList>,
}

/// A message to a registry's internal port.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RegistryRequest {
    /// A message from a proxy.
    Proxy(ProxyRequest),
    /// A message from another registry.
    Registry(Gossip),
}
