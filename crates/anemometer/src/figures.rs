//! Counters of one process: told in one line when they changed, seldom.

use std::cell::Cell;

#[derive(Debug, Default)]
pub struct Figures {
    pub requests: Cell<u64>,
    pub answered: Cell<u64>,
    pub past_limit: Cell<u64>,
    pub refused: Cell<u64>,
    pub failed: Cell<u64>,
    pub further: Cell<u64>,
    pub no_budget: Cell<u64>,
    pub unasked: Cell<u64>,
    pub no_route: Cell<u64>,
    pub no_key: Cell<u64>,
    pub connections: Cell<u64>,
}

pub fn add(figure: &Cell<u64>) {
    figure.set(figure.get() + 1);
}
