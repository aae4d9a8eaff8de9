//! The decision module stays readable within an hour.

#[test]
fn logic_stays_within_its_limits() {
    let text = include_str!("../src/logic.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines > 100 && lines <= 1070, "{lines} lines that are not blank");
    for (number, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too wide", number + 1);
    }
}
