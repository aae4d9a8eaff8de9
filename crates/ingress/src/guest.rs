//! A tenant, as a request meets it. The platform's program has none: all that is a tenant's is behind this.

use crate::request::Rejection;
use crate::tasks::TaskSet;
use std::any::Any;
use std::rc::Rc;
use violetyoke_shares::Member;

/// What a tenant lets a request have.
pub struct Admitted {
    pub plan: u16,
    pub customer: u64,
    /// Its place among the tenant's open requests, held until it is over.
    pub place: Box<dyn Any>,
}

pub trait Guest {
    /// Its number among those that share the process.
    fn member(&self) -> Member;

    /// Where its connections' tasks take their turns.
    fn set(&self) -> Option<Rc<TaskSet>>;

    /// What others are told of an account: two tenants' of one name are two.
    fn account(&self, name: &str) -> String;

    /// Whether a request of an account may go on to a pool; else 503 where it has no room now.
    fn admit(&self, pool: Member, account: &str) -> Result<Admitted, Rejection>;
}
