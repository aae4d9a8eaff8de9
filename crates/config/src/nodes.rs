//! Nodes of a pool.

use crate::section::Section;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The source of the list of nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum Nodes {
    /// The file.
    Static(Vec<Node>),
    /// An HTTP service at this address, which is watched for changes.
    Discovery(SocketAddr),
}

/// A node of the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its id, unique in its pool.
    pub id: String,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Its capacity in relation to the other nodes'.
    pub size: f64,
    /// It gets no new requests.
    pub draining: bool,
}

/// Reads the nodes of a pool. `zone` is the zone of nodes that state none.
pub(crate) fn read_nodes(section: &Section<'_>, zone: &str) -> Nodes {
    let tables = section.sections("nodes");
    let discovery = section.parsed("discovery", "an address");
    match (section.has("nodes"), section.has("discovery")) {
        (true, true) => section.error("discovery", "stands beside nodes: one source is allowed"),
        (false, false) => section.error("nodes", "neither nodes nor discovery is there"),
        _ => {}
    }
    let mut ids = BTreeSet::new();
    let mut nodes = Vec::with_capacity(tables.len());
    for table in tables {
        let node = read_node(&table, zone);
        if !ids.insert(node.id.clone()) {
            table.error("id", format!("{:?} stands for another node of this pool too", node.id));
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
