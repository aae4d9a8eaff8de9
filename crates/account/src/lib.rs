//! The decision log: what an ingress decided, and why.
//!
//! An ingress writes [`Record`]s to its log where it is asked to (the environment variable `VIOLETYOKE_ACCOUNT` is set).
//! A [`LossReport`] is made of the logs of all ingresses, and shows operators which value was lost, by which rule and
//! when. Taking the decisions belongs to `violetyoke_decision`, and observing them to the ingress.
//!
//! A record is one line of the log: [`RECORD_PREFIX`], then JSON. Other lines of a log are passed over.
//!
//! ```
//! use std::time::Duration;
//! use violetyoke_account::{LossReport, Record};
//!
//! let record = Record::Attempt {
//!     timestamp: 1_000_000,
//!     process: 7,
//!     node: "n1".into(),
//!     outcome: "Ok".into(),
//!     duration: 20_000,
//! };
//! let line = record.to_log_line().unwrap();
//! assert!(line.starts_with("account={\"kind\":\"attempt\","));
//! let mut report = LossReport::new(Duration::from_secs(1));
//! assert_eq!(report.add_log(&format!("listening\n{line}\n")), 1);
//! ```

mod interval;
mod record;
mod report;

pub use record::{NodeHealth, NodeState, Record, RECORD_PREFIX};
pub use report::{Loss, LossCause, LossReport, Totals};
