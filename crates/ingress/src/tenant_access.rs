//! The interface between the path of a request and the tenants. The single-pool program of the platform has no tenants, so
//! all of their code is behind this trait.

use crate::request::Rejection;
use crate::tasks::TaskSet;
use std::any::Any;
use std::rc::Rc;
use violetyoke_shares::Member;

/// The admission of a request by its tenant.
pub struct TenantAdmission {
    pub plan: u16,
    pub customer_id: u64,
    /// Counts the request among the tenant's open requests until it is dropped.
    pub open_request: Box<dyn Any>,
}

/// A tenant to which a request belongs.
pub trait TenantAccess {
    /// The tenant's id among the members that share the resources of the process.
    fn member(&self) -> Member;

    /// The task set in which the tasks of the tenant's connections run; `None` if tasks are not scheduled by member.
    fn task_set(&self) -> Option<Rc<TaskSet>>;

    /// The account name for other services. It contains the tenant's name, as accounts of two tenants may have the same
    /// name.
    fn qualified_account(&self, name: &str) -> String;

    /// Admits a request of an account to a pool. The rejection has status 503 if the tenant drains or has no capacity now.
    fn admit(&self, pool: Member, account: &str) -> Result<TenantAdmission, Rejection>;
}
