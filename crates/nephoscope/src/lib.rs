//! The operators' side: what a change would move (`plan`), and their calls (`calls`), as the command line has them
//! (`verbs`). Plans are made by the code that the system itself runs on.

pub mod calls;
pub mod capacity;
pub mod plan;
pub mod verbs;
