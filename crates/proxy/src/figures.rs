//! Counters of one process: told at `/api/figures`, in the common text form, and in a line when the process ends.

use std::cell::Cell;
use std::fmt::Write;

macro_rules! figures {
    ($($name:ident: $help:literal,)*) => {
        /// What a proxy counts, from its start on.
        #[derive(Debug, Default)]
        pub struct Figures {
            $(pub $name: Cell<u64>,)*
        }

        impl Figures {
            /// Names, what they count, and how many.
            fn all(&self) -> Vec<(&'static str, &'static str, u64)> {
                vec![$((stringify!($name), $help, self.$name.get()),)*]
            }
        }
    };
}

figures! {
    requests: "requests of clients",
    answered: "answered with what a backend said",
    past_limit: "refused past a tenant's limit",
    refused: "refused, never having run",
    failed: "given up on, having run perhaps",
    further: "further attempts",
    no_budget: "further attempts that the budget did not allow",
    unasked: "counted here, as their holder could not be asked",
    no_route: "denied: no such route",
    no_key: "denied: no such key",
    connections: "connections opened to backends",
}

pub fn add(figure: &Cell<u64>) {
    figure.set(figure.get() + 1);
}

impl Figures {
    /// As a scraper reads them.
    pub fn text(&self) -> String {
        let mut out = String::new();
        for (name, help, value) in self.all() {
            // Writing to a string does not fail.
            let _ = writeln!(out, "# HELP violetyoke_proxy_{name}_total {help}");
            let _ = writeln!(
                out,
                "# TYPE violetyoke_proxy_{name}_total counter\nvioletyoke_proxy_{name}_total {value}"
            );
        }
        out
    }

    /// On one line.
    pub fn line(&self) -> String {
        self.all().iter().map(|(name, _, value)| format!("{name} {value}")).collect::<Vec<_>>().join(", ")
    }
}
