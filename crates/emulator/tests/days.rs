//! Whole systems on drawn days: the shipped daemons keep the rules, and a world that cheats is found out.

#![cfg(test)]

use slog::{o, Discard, Logger};
use violetyoke_emulator::day::{Day, Event, What};
use violetyoke_emulator::dayfile;
use violetyoke_emulator::judge::judge;
use violetyoke_emulator::records::Records;
use violetyoke_emulator::site::Site;
use violetyoke_emulator::story::{shorten, tell, Told};
use violetyoke_emulator::world::play;

fn quiet_log() -> Logger {
    Logger::root(Discard, o!())
}

/// Little traffic: the days are about control.
fn site() -> Site {
    Site::rooms(1, 4.0)
}

fn told(site: &Site, day: Day) -> Told {
    tell(site, day, quiet_log()).expect("a runtime")
}

#[test]
fn a_quiet_day_is_served_and_its_newcomer_too() {
    let told = told(&Site::rooms(1, 12.0), Day::quiet(1));
    assert_eq!(told.broken, []);
    assert!(told.figures.served > 0.97 && told.figures.in_time > 0.95, "{}", told.figures);
    assert!(told.figures.requests > 250, "{}", told.figures);
}

#[test]
fn drawn_days_break_no_rule() {
    for seed in 1..=3 {
        let told = told(&site(), Day::drawn(seed, &site()));
        assert_eq!(told.broken, [], "seed {seed}: {:?}", told.day.events);
        assert!(told.figures.served > 0.5, "seed {seed}: {}", told.figures);
    }
    let five = site().with_five_cores();
    let told = told(&five, Day::drawn(5, &five));
    assert_eq!(told.broken, [], "{:?}", told.day.events);
}

#[test]
fn a_day_of_a_seed_is_the_same_day_each_time() {
    let day = Day::drawn(6, &site());
    let seen = |records: &Records| -> Vec<(String, u64, u16)> {
        records.tries.iter().map(|one| (one.id.clone(), one.sent, one.status)).collect()
    };
    let first = play(&site(), &day, quiet_log()).expect("a runtime");
    let again = play(&site(), &day, quiet_log()).expect("a runtime");
    let same = seen(&first.records).iter().zip(seen(&again.records).iter()).filter(|(a, b)| a == b).count();
    let all = seen(&first.records).len().max(seen(&again.records).len());
    assert!(same * 100 >= all * 95, "{same} of {all} tries are alike");
}

#[test]
fn disks_that_lie_are_found_out_and_the_story_is_short() {
    let mut cheats = site();
    cheats.disks_lie = true;
    let mut day = Day::quiet(3);
    day.events.push(Event { at: 5_000, what: What::Change { moved: false } });
    day.events.push(Event { at: 6_000, what: What::Race });
    let all = (0..7).collect();
    day.events.push(Event { at: 20_000, what: What::Kill { machines: all, power: true, down: 1_200 } });
    let found = told(&cheats, day.clone());
    assert!(found.broken.iter().any(|broken| broken.rule == "LOST"), "{:?}", found.broken);
    let story = shorten(&cheats, found).expect("a runtime");
    assert!(
        matches!(story.day.events[..], [Event { what: What::Kill { .. }, .. }]),
        "{:?}",
        story.day.events
    );
    // The same day with honest disks.
    assert_eq!(told(&site(), day).broken, []);
}

#[test]
fn the_judge_goes_by_what_receivers_saw() {
    let site = site();
    let mut records = play(&site, &Day::quiet(2), quiet_log()).expect("a runtime").records;
    assert_eq!(judge(&site, &records), []);
    let booked = records.arrivals.iter().position(|it| it.path.starts_with("/book/")).expect("a booking");
    records.arrivals.push(records.arrivals[booked].clone());
    let rules: Vec<&str> = judge(&site, &records).iter().map(|broken| broken.rule).collect();
    assert_eq!(rules, ["TWICE"]);
    records.arrivals.pop();
    records.arrivals[booked].tenant = Some("another".into());
    let rules: Vec<&str> = judge(&site, &records).iter().map(|broken| broken.rule).collect();
    assert!(rules.contains(&"UNASKED"), "{rules:?}");
}

#[test]
fn days_in_the_bench_s_form_are_read_and_what_is_unknown_is_told() {
    let site = site();
    let read = |text: &str| dayfile::read(text, &site, 32_000);
    let herd = read(include_str!("../../../docs/days/herd.toml")).expect("a day");
    assert_eq!((herd.name.as_str(), herd.day.events.len(), herd.unknown.len()), ("own-herd", 4, 0));
    assert!(
        matches!(&herd.day.events[2].what, What::Kill { machines, power: true, down: 2_000 } if machines.len() == 2)
    );
    let joins = read(include_str!("../../../docs/days/joins-at-the-peak.toml")).expect("a day");
    assert_eq!(joins.day.events.iter().filter(|event| matches!(event.what, What::Join { .. })).count(), 2);
    let odd = "[[day]]\nfaults = [{ at = 2.0, kind = \"clock_step\" }]\ntraffic = [{ per_s = 90.0 }, { per_s = 110.0 }]";
    let odd = read(odd).expect("a day");
    assert_eq!((odd.unknown, odd.per_s), (vec!["clock_step".to_owned()], Some(100.0)));
    let error = read("[[day]]\nfaults = [{ kind = \"srv_crash\" }]").expect_err("no time").to_string();
    assert!(error.contains("at"), "{error}");
}
