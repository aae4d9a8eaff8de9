//! The decision log: the decisions of an ingress and the reasons for them.
//!
//! An ingress writes [`Record`]s to its log if the environment variable `VIOLETYOKE_ACCOUNT` is set. A [`LossReport`]
//! summarizes the logs of all ingresses for operators: how much value was lost, by which rule and when. The decisions
//! are made in `violetyoke_decision` and observed by the ingress; this crate only defines the log and the report.
//!
//! A record is one line of the log: [`RECORD_PREFIX`], then JSON. Lines without a record are skipped.
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
