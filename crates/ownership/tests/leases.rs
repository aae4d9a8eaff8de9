//! The lease manager and lease holders together, in virtual time: failures and their effects on both.

#![cfg(test)]

mod support;

use support::{call, gain_one, gained, handed_over, holder, ControlPlane, TTL};
use violetyoke_ownership::{Claim, Epoch, LeaseEvent, LossCause, LossReason, ShardId, ShardOverride};

#[test]
fn lease_counts_from_sending_the_request_less_the_clock_drift_allowance() {
    let (mut control, mut a) = (ControlPlane::new(1), holder("a"));
    // The first call only shows that responses arrive.
    let (call_id, request) = a.next_request(0);
    let response = control.handle(&request, 0);
    assert!(a.on_response(call_id, response, 0).is_empty());
    let (call_id, request) = a.next_request(0);
    let response = control.handle(&request, 400_000);
    let claim = gained(&a.on_response(call_id, response, 900_000)).remove(0);
    assert!(a.is_valid(&claim, 979_999));
    assert!(!a.is_valid(&claim, 980_000));
    assert_eq!(a.expire_leases(980_000), [LeaseEvent::Lost { claim, cause: LossCause::Expired }]);
}

#[test]
fn late_duplicate_and_reordered_responses_do_not_extend_a_lease() {
    let (mut control, mut a) = (ControlPlane::new(1), holder("a"));
    let claim = gain_one(&mut control, &mut a, 0);
    a.record_progress(&claim, 1);
    let (first, request) = a.next_request(100_000);
    let early = control.handle(&request, 100_000);
    a.record_progress(&claim, 1);
    let (second, request) = a.next_request(300_000);
    let late = control.handle(&request, 300_000);
    let mut events = a.on_response(second, late.clone(), 310_000);
    events.extend(a.on_response(first, early, 320_000));
    events.extend(a.on_response(second, late, 900_000));
    assert_eq!(events, []);
    assert!(a.is_valid(&claim, 1_279_999) && !a.is_valid(&claim, 1_280_000));
    // A response that arrives after the lease has ended does not restore it.
    a.record_progress(&claim, 1);
    let (third, request) = a.next_request(1_200_000);
    let response = control.handle(&request, 1_200_000);
    assert_eq!(a.expire_leases(1_300_000).len(), 1);
    assert!(a.on_response(third, response.clone(), 2_200_000).is_empty(), "{response:?}");
    assert!(!a.is_valid(&claim, 2_200_000));
}

#[test]
fn hung_worker_is_not_renewed_and_its_shard_goes_to_another_process() {
    let (mut control, mut a, mut b) = (ControlPlane::new(1), holder("a"), holder("b"));
    let claim = gain_one(&mut control, &mut a, 0);
    // The hung process calls as before, with nothing to renew after the first call.
    for now in (0..1_500_000).step_by(300_000) {
        call(&mut control, &mut a, now);
        call(&mut control, &mut b, now);
        control.expire_leases(now);
    }
    let renewals = control.store[&claim.shard].renewals;
    assert_eq!(renewals, 1, "only the grant itself counts as progress");
    let mut gained_by_b = Vec::new();
    for now in (1_500_000..4_000_000).step_by(100_000) {
        control.expire_leases(now);
        drop(a.expire_leases(now)); // The hung worker does not stop.
        call(&mut control, &mut a, now);
        gained_by_b.extend(gained(&call(&mut control, &mut b, now)));
        gained_by_b.iter().for_each(|claim| b.record_progress(claim, 1));
    }
    assert_eq!(gained_by_b.len(), 1, "the shard goes to the other process, and not back to the hung one");
    assert!(gained_by_b[0].epoch > claim.epoch);
}

#[test]
fn handed_over_shard_moves_before_expiry_and_never_has_two_owners() {
    let (mut control, mut a, mut b) = (ControlPlane::new(8), holder("a"), holder("b"));
    let all = gained(&call(&mut control, &mut a, 0));
    assert_eq!(all.len(), 8);
    assert!(call(&mut control, &mut b, 10).is_empty(), "a held shard is not granted again");
    all.iter().for_each(|claim| a.record_progress(claim, 1));
    let handed_over: Vec<Claim> = (call(&mut control, &mut a, 300_000).into_iter())
        .map(|event| match event {
            LeaseEvent::HandOverRequested(claim) => claim,
            other => panic!("{other:?}"),
        })
        .collect();
    assert!(
        !handed_over.is_empty() && handed_over.len() < 8,
        "some move, and some stay: {}",
        handed_over.len()
    );
    assert!(call(&mut control, &mut b, 310_000).is_empty(), "not before their work has finished");
    handed_over.iter().for_each(|claim| a.finish(claim));
    assert!(a.has_urgent_request());
    call(&mut control, &mut a, 320_000);
    assert_eq!(gained(&call(&mut control, &mut b, 320_100)).len(), handed_over.len());
    assert_eq!(a.claims().count() + b.claims().count(), 8);
}

#[test]
fn restarted_lease_manager_revokes_no_lease_for_a_lease_duration() {
    let (mut control, mut a, mut b) = (ControlPlane::new(1), holder("a"), holder("b"));
    let claim = gain_one(&mut control, &mut a, 0);
    control.restart(900_000);
    for now in [900_000, 1_500_000, 1_899_000] {
        control.expire_leases(now);
        assert!(call(&mut control, &mut b, now).is_empty(), "at {now}");
    }
    control.expire_leases(1_900_000);
    let next = gain_one(&mut control, &mut b, 1_900_000);
    assert!(next.epoch > claim.epoch);
}

#[test]
fn restored_store_grants_nothing_that_may_still_be_held() {
    let (mut control, mut a, mut b) = (ControlPlane::new(1), holder("a"), holder("b"));
    let backup = control.store.clone();
    let claim = gain_one(&mut control, &mut a, 0);
    control.store = backup;
    control.restart(100_000);
    assert!(
        call(&mut control, &mut b, 100_000).is_empty(),
        "the record is lost, but its holder is still running"
    );
    a.record_progress(&claim, 1);
    let events = call(&mut control, &mut a, 200_000);
    let cause = LossCause::Reported(LossReason::Unknown);
    assert_eq!(events, [LeaseEvent::Lost { claim: claim.clone(), cause }]);
    let both = [call(&mut control, &mut a, 1_100_000), call(&mut control, &mut b, 1_100_000)].concat();
    assert_eq!(gained(&both).len(), 1, "exactly one of them has the lease");
}

#[test]
fn shard_is_suspended_after_five_owners_fail_without_completing_an_operation() {
    for (operations, is_suspended) in [(0, true), (1, false)] {
        let mut control = ControlPlane::new(1);
        let mut now = 0;
        for number in 0..6 {
            let mut holder = holder(&format!("h{number}"));
            let Some(claim) = gained(&call(&mut control, &mut holder, now)).first().cloned() else { break };
            holder.record_progress(&claim, operations);
            call(&mut control, &mut holder, now + 10);
            // Then the process is killed.
            now += 2 * TTL;
            control.expire_leases(now);
        }
        let record = &control.store[&ShardId::new("report", 0)];
        assert_eq!(record.suspension_reason.is_some(), is_suspended, "{record:?}");
        assert_eq!(record.epoch, Epoch(if is_suspended { 5 } else { 6 }));
    }
}

#[test]
fn operator_override_moves_a_shard_to_one_incarnation_of_a_process_or_suspends_it() {
    let mut control = ControlPlane::new(4);
    let (mut a, mut b) = (holder("a#1"), holder("b#1"));
    call(&mut control, &mut a, 0);
    call(&mut control, &mut b, 0);
    let shard = ShardId::new("report", 2);
    let preferred = ShardOverride { preferred_process: Some("b".into()), suspension_reason: None };
    control.manager.set_overrides([(shard.clone(), preferred)].into());
    let held = a.claims().find(|claim| claim.shard == shard).expect("the first had all");
    a.record_progress(&held, 1);
    assert!(handed_over(&call(&mut control, &mut a, 1_000)).contains(&held));
    a.finish(&held);
    call(&mut control, &mut a, 2_000);
    assert!(gained(&call(&mut control, &mut b, 3_000)).iter().any(|claim| claim.shard == shard));
    let suspended = ShardOverride { preferred_process: None, suspension_reason: Some("by hand".into()) };
    control.manager.set_overrides([(shard.clone(), suspended)].into());
    let held = b.claims().find(|claim| claim.shard == shard).unwrap();
    b.record_progress(&held, 1);
    assert!(handed_over(&call(&mut control, &mut b, 4_000)).contains(&held));
    b.finish(&held);
    call(&mut control, &mut b, 5_000);
    for holder in [&mut a, &mut b] {
        assert!(gained(&call(&mut control, holder, 6_000)).iter().all(|claim| claim.shard != shard));
    }
}

#[test]
fn failed_renewal_is_sent_again_unless_the_worker_hangs() {
    let (mut control, mut a) = (ControlPlane::new(1), holder("a"));
    let claim = gain_one(&mut control, &mut a, 0);
    a.record_progress(&claim, 1);
    let (call_id, request) = a.next_request(100_000);
    assert_eq!(request.renew.len(), 1);
    a.on_call_failed(call_id);
    let (call_id, request) = a.next_request(200_000);
    assert_eq!(request.renew.len(), 1, "the progress was not reported");
    let response = control.handle(&request, 200_000);
    assert_eq!(a.on_response(call_id, response, 200_000), []);
    assert_eq!(a.next_request(300_000).1.renew.len(), 0);
}

#[test]
fn grant_is_accepted_after_a_later_response_has_overtaken_it() {
    let (mut control, mut a) = (ControlPlane::new(1), holder("a"));
    let (initial, request) = a.next_request(0);
    let response = control.handle(&request, 0);
    assert_eq!(a.on_response(initial, response, 0), []);
    let (first, request) = a.next_request(1_000);
    let with_grant = control.handle(&request, 1_000);
    let (second, request) = a.next_request(2_000);
    let without_grant = control.handle(&request, 2_000);
    assert!(a.on_response(second, without_grant, 3_000).is_empty());
    let claim = gained(&a.on_response(first, with_grant, 4_000)).remove(0);
    // The lease counts from the request of its grant, not from the later one.
    assert!(a.is_valid(&claim, 980_999) && !a.is_valid(&claim, 981_000));
}

#[test]
fn holder_that_receives_no_responses_is_granted_nothing() {
    let (mut control, mut a, mut b) = (ControlPlane::new(4), holder("a"), holder("b"));
    call(&mut control, &mut b, 0);
    for now in (0..2 * TTL).step_by(300_000) {
        let (_, request) = a.next_request(now);
        assert!(control.handle(&request, now).grants.is_empty(), "at {now}");
        call(&mut control, &mut b, now);
        let claims: Vec<Claim> = b.claims().collect();
        claims.iter().for_each(|claim| b.record_progress(claim, 1));
    }
    assert_eq!(b.claims().count(), 4, "no shard is kept free for it");
}

#[test]
fn fenced_holder_drops_its_lease_and_reports_the_newer_epoch() {
    let (mut control, mut a) = (ControlPlane::new(1), holder("a"));
    let claim = gain_one(&mut control, &mut a, 0);
    let newest = claim.epoch.advanced_by(7);
    let event = a.on_fenced(&claim, newest);
    assert_eq!(event, Some(LeaseEvent::Lost { claim: claim.clone(), cause: LossCause::Fenced { newest } }));
    assert!(!a.is_valid(&claim, 1));
    let (_, request) = a.next_request(2);
    assert_eq!((request.observed_epoch, request.renew.len(), request.roles.len()), (newest, 0, 1));
}
