//! The control plane. `violetyoke-tenants` says what there is and what is wrong with it, [`store`] keeps it, [`keys`]
//! says who may do what, and [`api`] answers administrators and ingresses over HTTP.

pub mod api;
pub mod duties;
pub mod keys;
pub mod limit;
pub mod store;
