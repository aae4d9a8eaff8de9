//! Nodes of a pool.

use crate::section::Section;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The source of the list of nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum Nodes {
    /// The configuration file.
    Static(Vec<Node>),
    /// A discovery service at this address, which is polled for changes over HTTP.
    Discovery(SocketAddr),
}

/// A node in the configuration file.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The id, which is unique in the pool.
    pub id: String,
    /// The address on which the node accepts requests.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// Its capacity relative to other nodes.
    pub size: f64,
    /// Whether it gets no new requests.
    pub draining: bool,
}

/// Reads the nodes of a pool. `zone` is the default zone of nodes.
pub(crate) fn read_nodes(section: &Section<'_>, zone: &str) -> Nodes {
    let tables = section.sections("nodes");
    let discovery = section.parsed("discovery", "an address");
    match (section.has("nodes"), section.has("discovery")) {
        (true, true) => {
            section.error("discovery", "must not be set together with nodes: only one source is allowed");
        }
        (false, false) => section.error("nodes", "either nodes or discovery is needed"),
        _ => {}
    }
    let mut ids = BTreeSet::new();
    let mut nodes = Vec::with_capacity(tables.len());
    for table in tables {
        let node = read_node(&table, zone);
        if !ids.insert(node.id.clone()) {
            table.error("id", format!("{:?} is already the id of another node of this pool", node.id));
        }
        table.finish();
        nodes.push(node);
    }
    discovery.map_or(Nodes::Static(nodes), Nodes::Discovery)
}

fn read_node(table: &Section<'_>, zone: &str) -> Node {
    let address = table.required_address("address");
    Node {
        id: table.text("id").unwrap_or_else(|| address.to_string()),
        address,
        zone: table.text("zone").unwrap_or_else(|| zone.to_string()),
        size: table.number("size", 1.0, 1e-3..=1e6),
        draining: table.flag("draining", false),
    }
}
