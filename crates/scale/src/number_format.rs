//! Numbers as tables show them.

/// A number with three significant digits, or all of those before the point, in groups of three.
#[must_use]
pub fn format_number(value: f64) -> String {
    match value.abs() {
        0.0 => "0".into(),
        size if size >= 99.95 => grouped(value),
        size if size >= 9.995 => format!("{value:.1}"),
        size if size >= 0.0095 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

/// A whole number with its digits in groups of three.
pub(crate) fn grouped(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = if value < 0.0 { String::from("-") } else { String::new() };
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}
