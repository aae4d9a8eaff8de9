//! Counts under load, and what becomes of them when their holder changes.

use violetyoke_quota::absent::Absent;
use violetyoke_quota::deal::Dealt;
use violetyoke_quota::holder::{Holder, Stale};
use violetyoke_quota::own::Passed;
use violetyoke_quota::{Limit, Window};

#[test]
fn a_steady_flood_passes_at_its_rate_in_every_span() {
    let limit = Limit::new(245.0, 245.0).expect("a limit");
    let mut window = Window::default();
    let passed: Vec<u64> = (0..20_000u64).filter(|now| window.add(*now, limit).is_ok()).collect();
    for start in (0..15_000).step_by(97) {
        let within = passed.iter().filter(|at| (start..start + 5_000).contains(*at)).count();
        assert!(within as f64 <= 245.0 * 5.0 + 245.0, "{within} in the five seconds from {start}");
    }
    assert!(passed.len() as f64 > 0.9 * 245.0 * 20.0, "{} of 20 s", passed.len());
}

#[test]
fn who_is_refused_is_told_when_there_is_room() {
    let limit = Limit::new(50.0, 50.0).expect("a limit");
    let mut window = Window::default();
    let mut now = 10_000;
    for _ in 0..200 {
        match window.add(now, limit) {
            Ok(()) => {}
            Err(wait) => {
                assert!((1..=2_000).contains(&wait), "{wait} ms");
                let mut later = window;
                assert!(later.add(now + wait + 1, limit).is_ok(), "no room {wait} ms after {now}");
                now += wait;
            }
        }
    }
}

#[test]
fn no_limit_is_none_and_a_burst_of_nothing_is_a_second() {
    assert_eq!(Limit::new(0.0, 10.0), None);
    assert_eq!(Limit::new(20.0, 0.0).map(|limit| (limit.length, limit.most)), Some((1000, 20.0)));
}

#[test]
fn a_new_holder_rebuilds_the_count_from_those_who_passed_the_requests() {
    let limit = Limit::new(10.0, 10.0).expect("a limit");
    let mut proxies = [Passed::default(), Passed::default()];
    let mut old: Holder<u32> = Holder::default();
    for n in 0..10 {
        assert_eq!(old.add(5_000, "t", 1, limit), Ok(Ok(())));
        proxies[n % 2].passed(5_000, "t", limit);
    }
    let mut new: Holder<u32> = Holder::default();
    for proxy in &mut proxies {
        let told = proxy.told(5_100, "t", limit);
        new.tell(5_100, "t", 2, limit, told).expect("told under the newest deal");
    }
    assert!(matches!(new.add(5_200, "t", 2, limit), Ok(Err(_))), "the limit was used up at the old holder");
    // Without the words, the new holder lets another whole window pass: the negative control.
    let mut forgetful: Holder<u32> = Holder::default();
    assert_eq!(forgetful.add(5_200, "t", 2, limit), Ok(Ok(())));
}

#[test]
fn what_comes_under_an_older_deal_is_refused_by_the_receiver() {
    let limit = Limit::new(10.0, 10.0).expect("a limit");
    let mut holder: Holder<u32> = Holder::default();
    holder.raise(3);
    assert_eq!(holder.add(1, "t", 2, limit), Err(Stale));
    assert_eq!(holder.tell(1, "t", 2, limit, (1.0, 0.0)), Err(Stale));
    assert_eq!(holder.add(1, "t", 3, limit), Ok(Ok(())));
}

#[test]
fn a_count_that_comes_back_is_not_doubled() {
    let limit = Limit::new(10.0, 10.0).expect("a limit");
    let mut holder: Holder<u32> = Holder::default();
    for _ in 0..6 {
        assert_eq!(holder.add(2_000, "t", 1, limit), Ok(Ok(())));
    }
    // Elsewhere under deal 2, here again under 3: the proxies tell of all that they passed.
    holder.tell(2_100, "t", 3, limit, (6.0, 0.0)).expect("the newest deal");
    let passed = (0..10).filter(|_| holder.add(2_200, "t", 3, limit) == Ok(Ok(()))).count();
    assert_eq!(passed, 4);
}

#[test]
fn a_word_of_one_ingress_takes_nothing_from_a_count_that_was_held_here_all_along() {
    let limit = Limit::new(10.0, 10.0).expect("a limit");
    let mut holder: Holder<u32> = Holder::default();
    for _ in 0..9 {
        assert_eq!(holder.add(2_000, "t", 1, limit), Ok(Ok(())));
    }
    // Another registry has come, this tenant has stayed; one ingress was cut off and comes back under the new deal.
    holder.raise(2);
    holder.tell(2_100, "t", 2, limit, (2.0, 0.0)).expect("the newest deal");
    let passed = (0..10).filter(|_| holder.add(2_200, "t", 2, limit) == Ok(Ok(()))).count();
    assert_eq!(passed, 1, "nine of ten were counted here");
}

#[test]
fn what_ingresses_that_were_cut_off_may_pass_is_kept_back_for_as_long_as_it_counts() {
    let members: Vec<u32> = (0..10).collect();
    let mut absent = Absent::default();
    absent.see(1_000, &members, &[]);
    assert_eq!(absent.reserve(1_000, 0.06), 0.0);
    absent.see(2_000, &members[..7], &[]);
    assert_eq!(absent.away(), [7, 8, 9]);
    assert!((absent.reserve(2_000, 0.06) - (0.3 * 0.75 - 0.06)).abs() < 1e-9);
    absent.see(9_000, &members, &[]);
    assert!(absent.reserve(13_000, 0.06) > 0.1, "what they passed is in the span still");
    assert_eq!(absent.reserve(14_001, 0.06), 0.0);
    // Killed, and back in another life: that one has passed nothing.
    absent.see(15_000, &members[..7], &[]);
    absent.see(16_000, &members, &[7, 8, 9]);
    absent.see(16_300, &members, &[]);
    assert_eq!(absent.reserve(16_400, 0.06), 0.0);
    // One registry tells another that has just begun; one that sees nobody is cut off itself, and keeps nothing back.
    let mut begun = Absent::default();
    begun.told(20_000, &[7, 8, 9]);
    begun.see(20_000, &members[..7], &[]);
    assert!(begun.reserve(20_000, 0.06) > 0.1);
    absent.see(30_000, &[], &[]);
    assert_eq!(absent.reserve(30_000, 0.06), 0.0);
    absent.see(31_000, &members, &[]);
    assert_eq!(
        absent.reserve(31_000, 0.06),
        0.0,
        "they passed in place of what is counted here, not beside it"
    );
    // One that is gone for good is forgotten.
    absent.see(40_000, &members[..9], &[]);
    absent.see(100_000, &members[..9], &[]);
    assert_eq!(absent.away(), [0u32; 0]);
}

#[test]
fn ingresses_that_can_t_ask_stay_within_the_limit_together() {
    let limit = Limit::new(245.0, 245.0).expect("a limit");
    let mut proxies = vec![Passed::default(); 9];
    let mut passed = 0;
    for now in 0..20_000 {
        for proxy in &mut proxies {
            passed += usize::from(proxy.unasked(now, "t", limit, 9).is_ok());
        }
    }
    assert!(passed as f64 <= 245.0 * 20.0, "{passed} in 20 s");
    assert!(passed as f64 >= 0.6 * 245.0 * 20.0, "{passed} in 20 s");
}

#[test]
fn a_registry_that_goes_moves_only_the_tenants_that_were_its_own() {
    let names: Vec<String> = (0..200).map(|n| format!("tenant-{n}")).collect();
    let all = Dealt::new(&["10.0.0.1", "10.0.0.2", "10.0.0.3"]);
    let fewer = Dealt::new(&["10.0.0.1", "10.0.0.3"]);
    let mut moved = 0;
    for name in &names {
        let before = all.owner(name).expect("an owner");
        if before != "10.0.0.2" {
            assert_eq!(fewer.owner(name), Some(before));
        } else {
            moved += 1;
        }
    }
    assert!((20..120).contains(&moved), "{moved} of 200 moved");
    assert_eq!(Dealt::new(&[]).owner("tenant-1"), None);
}
