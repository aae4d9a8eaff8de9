//! Estimates of a backend's latency and of its load from other proxies.

use crate::observation::ReportedLoad;
use crate::queue_estimate::QueueEstimate;
use crate::Millis;

/// Time constant of the exponential decay of reported load (ms): the reported requests finish, and the next
/// report comes only with the next response.
const DECAY_MS: f64 = 600.0;
/// A report counts as fresh for this long (ms). After that, about three quarters of the reported requests
/// have finished.
const FRESH_MS: Millis = 900;
/// Assumed latency of a backend that has not responded yet (ms).
pub(crate) const DEFAULT_LATENCY_MS: f64 = 100.0;
/// Number of samples in the moving average of a backend's latency.
const BACKEND_SAMPLES: f64 = 10.0;
/// Number of samples in the moving average of a service's latency. At a few requests per second from each
/// proxy, this is few enough to reflect the loss of a zone within seconds.
const SERVICE_SAMPLES: f64 = 30.0;
/// Weight of the service's mean latency in the estimate for a single backend, in samples. With many backends,
/// each proxy sees few responses from each of them, and their latency depends more on the request than on the
/// backend.
const PRIOR_SAMPLES: f64 = 5.0;

/// Moving average of response times: the arithmetic mean of the first samples, exponentially weighted after
/// that.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LatencyEstimate {
    mean_ms: f64,
    /// Number of samples, up to the limit at which exponential weighting starts.
    samples: f64,
}

impl LatencyEstimate {
    /// Adds a sample to the estimate of one backend.
    pub(crate) fn record(&mut self, latency_ms: Millis) {
        self.add(latency_ms, BACKEND_SAMPLES);
    }

    /// Adds a sample to the estimate of a service.
    pub(crate) fn record_of_service(&mut self, latency_ms: Millis) {
        self.add(latency_ms, SERVICE_SAMPLES);
    }

    fn add(&mut self, latency_ms: Millis, max_samples: f64) {
        self.samples = (self.samples + 1.0).min(max_samples);
        self.mean_ms += (latency_ms as f64 - self.mean_ms) / self.samples;
    }

    /// The mean (ms); `None` before the first response.
    pub(crate) fn mean_ms(self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.mean_ms)
    }

    /// The expected latency of a backend with these samples (ms): their mean, weighted with the service's
    /// mean `prior_ms` while there are few samples.
    pub(crate) fn expected_ms(self, prior_ms: f64) -> f64 {
        (PRIOR_SAMPLES * prior_ms + self.samples * self.mean_ms) / (PRIOR_SAMPLES + self.samples)
    }
}

/// Response times and loads of all backends of a service, separately for this proxy's region and the other
/// regions. The separate estimates make an overloaded region lose requests to the others even if this proxy
/// has used few of its backends.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceEstimate {
    same_region: RegionEstimate,
    other_region: RegionEstimate,
}

/// Latency, load and queue length of all backends of a service in one region.
#[derive(Clone, Copy, Debug, Default)]
struct RegionEstimate {
    latency: LatencyEstimate,
    /// Moving average of the reported loads (requests per slot).
    load_per_slot: f64,
    queue: QueueEstimate,
}

impl ServiceEstimate {
    /// Records a response. `load` is the backend's load report together with its number of slots.
    pub(crate) fn record(
        &mut self,
        now: Millis,
        latency_ms: Millis,
        load: Option<(ReportedLoad, u32)>,
        is_same_region: bool,
    ) {
        let region = if is_same_region { &mut self.same_region } else { &mut self.other_region };
        region.latency.record_of_service(latency_ms);
        if let Some((load, slots)) = load {
            region.load_per_slot += (load.per_slot(slots) - region.load_per_slot) / region.latency.samples;
            region.queue.record(now, load.waiting_per_slot(slots));
        }
    }

    /// The estimated queue length at the backends.
    pub(crate) fn queue(&self, is_same_region: bool) -> QueueEstimate {
        let region = if is_same_region { self.same_region } else { self.other_region };
        region.queue
    }

    /// The mean latency (ms); `None` before the first response of the service.
    pub(crate) fn latency_ms(&self, is_same_region: bool) -> Option<f64> {
        let (own, other) = if is_same_region {
            (self.same_region, self.other_region)
        } else {
            (self.other_region, self.same_region)
        };
        own.latency.mean_ms().or(other.latency.mean_ms())
    }

    /// The mean load of a backend (requests per slot).
    pub(crate) fn load_per_slot(&self, is_same_region: bool) -> f64 {
        let region = if is_same_region { self.same_region } else { self.other_region };
        region.load_per_slot
    }
}

/// Requests of other proxies at a backend, from the load reports in its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PeerLoad {
    requests: f64,
    reported_at: Millis,
}

impl PeerLoad {
    /// Sets the load from a report, which includes this proxy's `in_flight` requests.
    pub(crate) fn report(&mut self, now: Millis, load: ReportedLoad, in_flight: u32) {
        self.requests = (load.requests() - f64::from(in_flight)).max(0.0);
        self.reported_at = now;
    }

    /// Records that the backend rejected a request for lack of capacity: at least all of its slots are in
    /// use.
    pub(crate) fn saturate(&mut self, now: Millis, slots: u32) {
        self.requests = f64::from(slots).max(self.requests);
        self.reported_at = now;
    }

    /// Whether the last report is recent enough to indicate the current load.
    pub(crate) fn is_fresh(&self, now: Millis) -> bool {
        self.reported_at > 0 && now < self.reported_at + FRESH_MS
    }

    /// The reported load, decayed with its age.
    pub(crate) fn estimate(&self, now: Millis) -> f64 {
        self.requests * self.decay_factor(now)
    }

    /// The expected load at `now`. As the report ages, the estimate approaches `usual_load`, the mean load of
    /// the service's backends.
    pub(crate) fn with_prior(&self, now: Millis, usual_load: f64) -> f64 {
        usual_load + (self.requests - usual_load) * self.decay_factor(now)
    }

    /// Weight (0 to 1) of the last report by its age.
    fn decay_factor(&self, now: Millis) -> f64 {
        if self.reported_at == 0 {
            return 0.0;
        }
        let age_ms = now.saturating_sub(self.reported_at) as f64;
        (-age_ms / DECAY_MS).exp()
    }
}
