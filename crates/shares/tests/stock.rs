//! What is guaranteed is always there, and nothing is given out twice.

use proptest::prelude::*;
use violetyoke_shares::Stock;

fn stock() -> Stock {
    let mut stock = Stock::new(100);
    stock.set(1, 20, 100);
    stock.set(2, 30, 100);
    stock
}

#[test]
fn one_may_take_all_but_what_is_guaranteed_to_others() {
    let mut stock = stock();
    assert!(stock.take(1, 70));
    assert!(!stock.take(1, 1));
    assert!(stock.take(2, 30));
    assert!(!stock.take(2, 1));
    stock.give(1, 5);
    assert!(stock.take(2, 5));
    assert_eq!((stock.used(1), stock.used(2), stock.left(1)), (65, 35, 0));
}

#[test]
fn a_member_has_a_most_of_its_own() {
    let mut stock = Stock::new(100);
    stock.set(1, 0, 10);
    assert!(!stock.take(1, 11) && stock.take(1, 10) && !stock.take(1, 1));
    assert_eq!(stock.left(7), 0);
    assert!(!stock.take(7, 1));
}

#[test]
fn what_a_retired_member_holds_stays_taken_until_it_is_given_back() {
    let mut stock = stock();
    assert!(stock.take(2, 50));
    stock.retire(2);
    assert!(!stock.take(2, 1));
    assert_eq!(stock.left(1), 50);
    stock.give(2, 50);
    assert_eq!((stock.left(1), stock.used(2)), (100, 0));
}

#[test]
fn what_is_there_already_is_counted_even_where_it_does_not_fit() {
    let mut stock = stock();
    stock.force(1, 90);
    assert_eq!(stock.left(1), 0);
    // The other's guaranteed part is short by what was forced, but not below nothing.
    assert_eq!(stock.left(2), 10);
    stock.give(1, 90);
    assert_eq!(stock.left(2), 80);
}

proptest! {
    #[test]
    fn what_is_guaranteed_can_always_be_taken(
        guaranteed in prop::collection::vec(0u64..25, 4),
        steps in prop::collection::vec((0usize..4, 1u64..40, any::<bool>()), 0..200),
    ) {
        let mut stock = Stock::new(100);
        for (member, part) in guaranteed.iter().enumerate() {
            stock.set(member, *part, 100);
        }
        for (member, amount, takes) in steps {
            if takes {
                stock.take(member, amount);
            } else {
                stock.give(member, amount.min(stock.used(member)));
            }
            let all: u64 = (0..4).map(|member| stock.used(member)).sum();
            prop_assert!(all <= 100);
            for (member, part) in guaranteed.iter().enumerate() {
                prop_assert!(stock.used(member) + stock.left(member) >= *part, "{} of {:?}", member, stock);
            }
        }
    }
}
