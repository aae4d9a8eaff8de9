//! Counts the panics of a thread, for emulations and tests of the daemons. The programs abort on a panic, whereas a runtime
//! catches the panic of a task and goes on.

use std::cell::Cell;
use std::panic::{catch_unwind, set_hook, take_hook, AssertUnwindSafe};
use std::sync::Once;

thread_local! {
    static PANICS: Cell<usize> = const { Cell::new(0) };
}

/// A panic has occurred, caught or not: the process would have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a panic has occurred")]
pub struct Panicked;

/// Calls `f`, and fails if a panic occurs meanwhile on this thread, also one that `f` catches.
///
/// # Errors
///
/// If a panic has occurred.
pub fn observe<T>(f: impl FnOnce() -> T) -> Result<T, Panicked> {
    install_hook();
    let before = PANICS.get();
    match catch_unwind(AssertUnwindSafe(f)) {
        Ok(value) if PANICS.get() == before => Ok(value),
        Ok(_) | Err(_) => Err(Panicked),
    }
}

/// Counts panics from now on, before the hook that is installed already runs.
fn install_hook() {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let previous = take_hook();
        set_hook(Box::new(move |panic| {
            PANICS.set(PANICS.get() + 1);
            previous(panic);
        }));
    });
}
