//! The operators' side: what a change would move (`plan`), and their calls (`calls`), as the command line has them
//! (`verbs`), and a store's disk by hand (`store`). Plans are made by the code that the system itself runs on.

pub mod calls;
pub mod capacity;
pub mod plan;
pub mod store;
pub mod verbs;
