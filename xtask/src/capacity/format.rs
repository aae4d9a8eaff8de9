//! Figures as tables show them.

/// Three digits that count, or all digits before the point, in groups of three.
pub(super) fn figure(value: f64) -> String {
    match value.abs() {
        magnitude if magnitude >= 999.5 => grouped(value.round()),
        magnitude if magnitude >= 100.0 => format!("{value:.0}"),
        magnitude if magnitude >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.2}"),
    }
}

fn grouped(value: f64) -> String {
    let digits = format!("{value:.0}");
    let mut out = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            out.push(',');
        }
        out.push(digit);
    }
    out
}
