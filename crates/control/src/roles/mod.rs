//! Singleton roles at the control plane. [`LeaseService`] grants leases by the rules of `violetyoke-ownership`, and
//! `lease_store` keeps them; `declarations` says which roles there are, [`EpochFile`] reserves epochs beside the store,
//! and `usage` sums up what tenants use until it is reported.

pub(crate) mod declarations;
pub(crate) mod epoch_file;
pub(crate) mod lease_service;
pub(crate) mod lease_store;
pub(crate) mod usage;

pub use declarations::{declare, parse, DeclarationError, ParseError, ParsedDeclarations};
pub use epoch_file::EpochFile;
pub use lease_service::LeaseService;
