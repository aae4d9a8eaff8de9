//! One page of the platform's list, as JSON.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use violetyoke_api::quantity::Milliseconds;
use violetyoke_transport::messages::Backend;

/// The largest number of slots that a backend is taken to have. One that states more would get all requests of its service.
const MAX_SLOTS: u32 = 10_000;

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
    /// If the body is not JSON of the form that the platform documents. Unknown members are ignored, and a number that is
    /// out of range is bounded: it must not cost the other backends of the list.
    pub fn parse(body: &[u8]) -> Result<Page, serde_json::Error> {
        let document: PageDocument<'_> = serde_json::from_slice(body)?;
        let backends = document.instances.into_iter().map(|(id, instance)| instance.into_backend(id));
        Ok(Page { backends: backends.collect(), next_token: document.next_token })
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct PageDocument<'a> {
    #[serde(borrow)]
    instances: BTreeMap<String, Instance<'a>>,
    #[serde(default)]
    next_token: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Instance<'a> {
    service: String,
    address: SocketAddrV4,
    zone: String,
    #[serde(borrow, default)]
    slots: StatedNumber<'a>,
    state: InstanceState,
    #[serde(borrow, default)]
    cold_left_ms: StatedNumber<'a>,
}

/// A value that should be a number, as its text. A JSON parser refuses the whole page for a number beyond its own range.
#[derive(Debug, Default, Deserialize)]
#[serde(transparent)]
struct StatedNumber<'a>(#[serde(borrow)] Option<&'a RawValue>);

impl StatedNumber<'_> {
    /// The number, which may be infinite; 0 if the value is absent or not a number.
    fn to_f64(&self) -> f64 {
        self.0.and_then(|value| value.get().parse().ok()).unwrap_or_default()
    }
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

impl Instance<'_> {
    fn into_backend(self, id: String) -> Backend {
        Backend {
            id,
            service: self.service,
            address: self.address,
            zone: self.zone,
            // A conversion from a float saturates.
            slots: (self.slots.to_f64() as u32).clamp(1, MAX_SLOTS),
            // A backend in an unknown state might not serve new requests, so it gets none.
            draining: self.state != InstanceState::Ready,
            slow_start_left_ms: Milliseconds::new(self.cold_left_ms.to_f64().ceil()).to_millis(),
        }
    }
}
