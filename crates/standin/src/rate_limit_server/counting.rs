//! The rate limit service that counts calls.

use super::{Behavior, Entries, ReceivedCall, State, Window};
use crate::lock;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tonic::{Request, Response, Status};
use violetyoke_ratelimit_proto as proto;

pub(super) struct CountingService(pub(super) Arc<State>);

/// The decision on a call.
struct Decision {
    is_admitted: bool,
    /// The time until the windows of all its descriptors have ended.
    until_reset: Duration,
}

impl CountingService {
    /// Decides on a call, counts it if the behavior says so, and records it.
    fn count(&self, request: &proto::RateLimitRequest, behavior: Behavior) -> Decision {
        let state = &self.0;
        let now = Instant::now();
        let units = u64::from(request.hits_addend.max(1));
        let descriptors: Vec<Entries> = request.descriptors.iter().map(entries).collect();
        let mut windows = lock(&state.windows);
        let (mut is_within_limit, mut until_reset) = (true, Duration::ZERO);
        for descriptor in &descriptors {
            let window = windows.entry(descriptor.clone()).or_insert(Window { units: 0, started: now });
            if now - window.started >= state.window {
                *window = Window { units: 0, started: now };
            }
            until_reset = until_reset.max(state.window.saturating_sub(now - window.started));
            is_within_limit &= window.units + units <= state.limit;
        }
        let is_admitted = match behavior {
            Behavior::AdmitAll => true,
            Behavior::AdmitNone => false,
            _ => is_within_limit,
        };
        let is_counted = is_admitted && !matches!(behavior, Behavior::Error | Behavior::UnknownCode);
        if is_counted {
            for descriptor in &descriptors {
                if let Some(window) = windows.get_mut(descriptor) {
                    window.units += units;
                }
            }
        }
        let entries = descriptors.into_iter().next().unwrap_or_default();
        let domain = request.domain.clone();
        lock(&state.received).push(ReceivedCall { at: now, domain, entries, units, is_counted });
        Decision { is_admitted, until_reset }
    }
}

fn entries(descriptor: &proto::RateLimitDescriptor) -> Entries {
    descriptor.entries.iter().map(|entry| (entry.key.clone(), entry.value.clone())).collect()
}

#[tonic::async_trait]
impl proto::RateLimitService for CountingService {
    async fn should_rate_limit(
        &self,
        request: Request<proto::RateLimitRequest>,
    ) -> Result<Response<proto::RateLimitResponse>, Status> {
        let request = request.into_inner();
        let behavior = *lock(&self.0.behavior);
        let decision = self.count(&request, behavior);
        match behavior {
            Behavior::Delay(time) => tokio::time::sleep(time).await,
            Behavior::Silent => std::future::pending().await,
            Behavior::Error => return Err(Status::unavailable("as told")),
            Behavior::Answer | Behavior::UnknownCode | Behavior::AdmitAll | Behavior::AdmitNone => {}
        }
        let code = match (behavior, decision.is_admitted) {
            (Behavior::UnknownCode, _) => proto::Code::Unknown,
            (_, true) => proto::Code::Ok,
            (_, false) => proto::Code::OverLimit,
        };
        let status = |_| proto::DescriptorStatus {
            code: code.into(),
            duration_until_reset: Some(proto::Duration {
                seconds: decision.until_reset.as_secs() as i64,
                nanos: decision.until_reset.subsec_nanos() as i32,
            }),
            ..Default::default()
        };
        Ok(Response::new(proto::RateLimitResponse {
            overall_code: code.into(),
            statuses: request.descriptors.iter().map(status).collect(),
            ..Default::default()
        }))
    }
}
