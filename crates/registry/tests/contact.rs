//! Which registry is the one that is cut off, and when a proxy that asks another first is told.

use violetyoke_registry::contact::Contact;
use violetyoke_registry::waits::{Waits, SECOND};

#[test]
fn a_registry_that_hears_no_majority_is_out_of_contact_whatever_its_own_store_deals() {
    let mut contact = Contact::default();
    assert!(!contact.see(3, 0, 1), "it has just begun, alone");
    assert!(contact.see(3, 3, 3));
    assert!(contact.see(3, 2, 2), "one of three was lost");
    assert!(contact.see(3, 3, 3), "and replaced");
    // Cut off: its own store still leads an old epoch, and deals all counts to the one registry that it hears.
    assert!(!contact.see(3, 3, 1));
    assert!(!contact.see(3, 1, 1));
    assert!(contact.see(3, 3, 3), "joined again");
}

#[test]
fn two_of_five_are_the_minority_and_three_go_on() {
    let mut contact = Contact::default();
    assert!(contact.see(3, 5, 5));
    assert!(!contact.see(3, 2, 2));
    let mut others = Contact::default();
    assert!(others.see(3, 5, 5));
    assert!(others.see(3, 3, 3));
    assert!(others.see(3, 3, 2), "one more is lost, once the two are given up");
}

#[test]
fn all_machines_replaced_by_others_are_a_core_again() {
    let mut contact = Contact::default();
    assert!(contact.see(3, 3, 3));
    assert!(!contact.see(3, 3, 1));
    assert!(contact.see(3, 3, 3));
    let mut single = Contact::default();
    assert!(single.see(1, 1, 1), "a core of one machine");
}

#[test]
fn lists_from_one_registry_do_not_put_off_the_state_of_another() {
    // The proxy's first registry is cut off from the store and not from the platform: it tells a list every 500 ms, and
    // the proxy asks everybody again after each.
    let mut waits = Waits::default();
    let mut told = None;
    for now in (0..3_000u64).step_by(50) {
        waits.see(now, true, true, false);
        if waits.state_is_due(now) {
            told = Some(now);
            break;
        }
        if now % 500 == 450 {
            waits.polled(false, true);
        }
    }
    assert_eq!(told, Some(SECOND));
}

#[test]
fn a_proxy_that_its_first_registry_keeps_up_to_date_is_told_nothing_twice() {
    let mut waits = Waits::default();
    for now in (0..6_000u64).step_by(50) {
        // News every 500 ms, which the proxy has 100 ms later from the other registry.
        waits.see(now, now % 500 < 100, false, now % 500 < 100);
        assert!(!waits.state_is_due(now) && !waits.members_are_due(now));
        // Its list is always another than the one that is known here, and never the same for long.
        waits.see(now, false, true, false);
        assert!(!waits.list_is_due(now));
        if now % 500 == 450 {
            waits.polled(false, true);
        }
    }
}
