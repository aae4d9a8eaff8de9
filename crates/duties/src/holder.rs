//! Creates the lease holder of a process.

use violetyoke_ownership::LeaseHolder;

/// A holder's name: the name of the process, and a random incarnation.
///
/// # Errors
/// If the system has no random numbers.
pub fn holder_name(process: &str) -> Result<String, getrandom::Error> {
    let mut incarnation = [0; 6];
    getrandom::fill(&mut incarnation)?;
    Ok(incarnation.iter().fold(format!("{process}#"), |name, byte| name + &format!("{byte:02x}")))
}

/// The holder of a process, without leases.
pub fn new_holder(name: String, roles: Vec<String>) -> LeaseHolder {
    let holder = LeaseHolder::new(name, roles);
    #[cfg(feature = "test-faults")]
    let holder = holder.with_faults(injected_faults());
    holder
}

/// The faults that a test requests in `VIOLETYOKE_TEST_FAULT`.
#[cfg(feature = "test-faults")]
fn injected_faults() -> violetyoke_ownership::InjectedFaults {
    let is_set = |fault: &str| std::env::var("VIOLETYOKE_TEST_FAULT").is_ok_and(|value| value == fault);
    violetyoke_ownership::InjectedFaults {
        counts_from_response: is_set("count-from-response"),
        renews_without_progress: is_set("renew-without-progress"),
    }
}
