//! A tenant, as a request meets it. The platform's program has none: all that is a tenant's is behind this.

use crate::request::Rejection;
use crate::tasks::TaskSet;
use std::any::Any;
use std::rc::Rc;
use violetyoke_shares::Member;

/// What a tenant lets a request have.
pub struct TenantAdmission {
    pub plan: u16,
    pub customer_id: u64,
    /// Its place among the tenant's open requests, held until it is over.
    pub open_request: Box<dyn Any>,
}

pub trait TenantAccess {
    /// Its number among those that share the process.
    fn member(&self) -> Member;

    /// Where its connections' tasks take their turns.
    fn task_set(&self) -> Option<Rc<TaskSet>>;

    /// What others are told of an account: two tenants' of one name are two.
    fn qualified_account(&self, name: &str) -> String;

    /// Whether a request of an account may go on to a pool; else 503 where it has no room now.
    fn admit(&self, pool: Member, account: &str) -> Result<TenantAdmission, Rejection>;
}
