//! A holder's requests and their responses.

use super::{HeldLease, LeaseHolder, CLOCK_DRIFT_DIVISOR};
use crate::claim::{Claim, Renewal};
use crate::clock::Micros;
use crate::event::{LeaseEvent, LossCause};
use crate::messages::{Grant, LossReason, RenewRequest, RenewResponse};

/// Maximum number of requests that await a response; beyond that, the oldest is abandoned.
pub const MAX_PENDING_CALLS: usize = 4;

/// The number of one request of a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(u64);

impl CallId {
    pub(super) const FIRST: CallId = CallId(1);

    fn next(self) -> CallId {
        CallId(self.0 + 1)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingCall {
    sent_at: Micros,
    renewed: Vec<Claim>,
    /// Claims that were released or reported as expired.
    released: Vec<Claim>,
}

impl LeaseHolder {
    /// The next request, to be sent now. Its result is to be passed to [`LeaseHolder::on_response`] or
    /// [`LeaseHolder::on_call_failed`].
    pub fn next_request(&mut self, now: Micros) -> (CallId, RenewRequest) {
        let call = self.next_call;
        self.next_call = call.next();
        while self.pending_calls.len() >= MAX_PENDING_CALLS {
            self.pending_calls.pop_first();
        }
        let (mut renew, mut release) = (Vec::new(), Vec::new());
        for (shard, lease) in &mut self.leases {
            let claim = Claim { shard: shard.clone(), epoch: lease.epoch };
            if lease.is_finished {
                release.push(claim);
            } else if lease.has_progress || self.faults.renews_without_progress {
                lease.has_progress = false;
                renew.push(Renewal { claim, operations: lease.operations });
            }
        }
        let renewed = renew.iter().map(|renewal| renewal.claim.clone()).collect();
        let released = [release.as_slice(), &self.expired].concat();
        self.pending_calls.insert(call, PendingCall { sent_at: now, renewed, released });
        let request = RenewRequest {
            holder: self.name.clone(),
            roles: self.roles.clone(),
            renew,
            release,
            expired: self.expired.clone(),
            observed_epoch: self.observed_epoch,
            echo: self.echo,
            is_leaving: self.is_leaving,
        };
        (call, request)
    }

    /// Handles the response to a request. Responses to abandoned requests and duplicate responses are ignored.
    #[must_use]
    pub fn on_response(&mut self, call: CallId, response: RenewResponse, now: Micros) -> Vec<LeaseEvent> {
        let Some(PendingCall { sent_at, released, .. }) = self.pending_calls.remove(&call) else {
            return Vec::new();
        };
        self.observe_epoch(response.newest_epoch);
        self.echo = self.echo.max(response.token);
        let mut events = Vec::new();
        for claim in released {
            // The manager has processed the release, or the lease was lost before: it is no longer held in either
            // case.
            self.expired.retain(|expired| *expired != claim);
            events.extend(self.drop_lease(&claim, LossCause::Expired));
        }
        let counted_from = if self.faults.counts_from_response { now } else { sent_at };
        for grant in response.grants {
            self.on_grant(grant, counted_from, now, &mut events);
        }
        for (claim, reason) in response.lost {
            events.extend(self.drop_lease(&claim, LossCause::Reported(reason)));
        }
        events
    }

    fn on_grant(&mut self, grant: Grant, counted_from: Micros, now: Micros, events: &mut Vec<LeaseEvent>) {
        let ttl = grant.ttl_ms * 1_000;
        let expires_at = counted_from + ttl - ttl / CLOCK_DRIFT_DIVISOR;
        if now >= expires_at {
            return;
        }
        let Claim { shard, epoch } = grant.claim.clone();
        self.observe_epoch(epoch);
        match self.leases.get_mut(&shard) {
            Some(lease) if lease.epoch == epoch => {
                lease.expires_at = lease.expires_at.max(expires_at);
                if grant.must_hand_over && !lease.is_handing_over {
                    lease.is_handing_over = true;
                    events.push(LeaseEvent::HandOverRequested(grant.claim));
                }
                return;
            }
            Some(lease) if lease.epoch > epoch => return,
            _ => {}
        }
        let has_ended = self.newest_held.get(&shard).is_some_and(|held| *held >= epoch);
        if has_ended || grant.must_hand_over || self.is_leaving {
            return;
        }
        self.newest_held.insert(shard.clone(), epoch);
        let lease = HeldLease {
            epoch,
            expires_at,
            operations: 0,
            has_progress: true,
            is_handing_over: false,
            is_finished: false,
        };
        if let Some(previous) = self.leases.insert(shard.clone(), lease) {
            let claim = Claim { shard, epoch: previous.epoch };
            events.push(LeaseEvent::Lost { claim, cause: LossCause::Reported(LossReason::Superseded) });
        }
        events.push(LeaseEvent::Gained { claim: grant.claim, watermark: grant.watermark });
    }

    /// Handles a request that will get no response. The leases that it was to renew are renewed by the next request.
    pub fn on_call_failed(&mut self, call: CallId) {
        let Some(call) = self.pending_calls.remove(&call) else { return };
        for claim in call.renewed {
            if let Some(lease) = self.lease_mut(&claim) {
                lease.has_progress = true;
            }
        }
    }
}
