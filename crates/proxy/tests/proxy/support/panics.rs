//! Counts the panics of a thread. The runtime catches those of tasks, whereas the programs abort on any.

use std::cell::Cell;
use std::panic::{set_hook, take_hook};
use std::sync::Once;

thread_local! {
    static PANICS: Cell<usize> = const { Cell::new(0) };
}

/// Starts to count the panics of this thread.
pub(super) fn start_counting() {
    static HOOK: Once = Once::new();
    HOOK.call_once(|| {
        let previous = take_hook();
        set_hook(Box::new(move |panic| {
            PANICS.set(PANICS.get() + 1);
            previous(panic);
        }));
    });
    PANICS.set(0);
}

/// The panics of this thread since the last call of [`start_counting`].
pub(super) fn count() -> usize {
    PANICS.get()
}
