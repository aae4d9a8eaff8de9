//! One page of the platform's list, as JSON.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use violetyoke_transport::messages::Backend;

/// One page of the list of backends.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// The backends of the page.
    pub backends: Vec<Backend>,
    /// The token for requesting the next page; `None` on the last page.
    pub next_token: Option<String>,
}

impl Page {
    /// Reads a page from the body of a response.
    ///
    /// # Errors
    ///
    /// If the body is not JSON of the form that the platform documents. Unknown members are ignored.
    pub fn parse(body: &[u8]) -> Result<Page, serde_json::Error> {
        let document: PageDocument = serde_json::from_slice(body)?;
        let backends = document.instances.into_iter().map(|(id, instance)| instance.into_backend(id));
        Ok(Page { backends: backends.collect(), next_token: document.next_token })
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct PageDocument {
    instances: BTreeMap<String, Instance>,
    #[serde(default)]
    next_token: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Instance {
    service: String,
    address: SocketAddrV4,
    zone: String,
    #[serde(default)]
    slots: u32,
    state: InstanceState,
    #[serde(default)]
    cold_left_ms: f64,
}

#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum InstanceState {
    Ready,
    Draining,
    /// A state that this build does not know.
    #[serde(other)]
    Other,
}

impl Instance {
    fn into_backend(self, id: String) -> Backend {
        Backend {
            id,
            service: self.service,
            address: self.address,
            zone: self.zone,
            slots: self.slots.max(1),
            // A backend in an unknown state might not serve new requests, so it gets none.
            draining: self.state != InstanceState::Ready,
            slow_start_left_ms: self.cold_left_ms.max(0.0).ceil() as u64,
        }
    }
}
