//! The header `grpc-timeout`: up to eight digits and a unit (gRPC over HTTP/2, "Requests").

/// Parses a time-out. Returns microseconds, at least 1; `None` if the text is invalid.
pub fn parse(text: &str) -> Option<u64> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let number: u64 = digits.parse().ok()?;
    let time = match unit {
        "H" => number * 3_600_000_000,
        "M" => number * 60_000_000,
        "S" => number * 1_000_000,
        "m" => number * 1_000,
        "u" => number,
        "n" => number / 1_000,
        _ => return None,
    };
    Some(time.max(1))
}
