//! The unit of time of leases.

/// Microseconds of a monotonic clock that keeps running while a process is stopped or the machine is suspended
/// (Linux's `CLOCK_BOOTTIME`).
pub type Micros = u64;
