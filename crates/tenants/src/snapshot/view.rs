//! One tenant of a snapshot.

#![expect(missing_docs, reason = "comments of fields would change docs/api.json")]

use super::error::TenantProblem;
use crate::model::{
    validate_routes, Account, Limits, Plan, Resource, Route, StoredTenant, Tenant, TenantState,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A tenant with its resources, as ingresses use it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
pub struct TenantView {
    pub name: String,
    pub epoch: u64,
    pub weight: u32,
    pub limits: Limits,
    /// Whether new requests of the tenant are rejected, before it is removed.
    pub draining: bool,
    pub hosts: Vec<String>,
    pub pools: Vec<String>,
    pub plans: Vec<Plan>,
    pub accounts: Vec<Account>,
    pub routes: Vec<Route>,
}

impl TenantView {
    /// Combines a tenant and its resources, as the control plane stores them.
    pub fn new(
        stored: StoredTenant,
        plans: Vec<Plan>,
        accounts: Vec<Account>,
        routes: Vec<Route>,
    ) -> TenantView {
        let StoredTenant { tenant, epoch, state } = stored;
        let Tenant { name, weight, limits, hosts, pools } = tenant;
        let draining = state != TenantState::Active;
        TenantView { name, epoch, weight, limits, draining, hosts, pools, plans, accounts, routes }
    }

    /// The index of an account's plan in [`TenantView::plans`]; `None` if there is no such account. Accounts must be sorted by
    /// name, as they are in a [`TenantDirectory`](super::TenantDirectory).
    pub fn plan_index(&self, account: &str) -> Option<usize> {
        let index = self.accounts.binary_search_by(|other| other.name.as_str().cmp(account)).ok()?;
        self.plans.iter().position(|plan| plan.name == self.accounts[index].plan)
    }

    /// Sorts the accounts for [`TenantView::plan_index`], and validates the tenant without regard to others.
    pub(super) fn prepare(&mut self) -> Result<(), TenantProblem> {
        self.accounts.sort_by(|a, b| a.name.cmp(&b.name));
        self.validate_fields()?;
        self.validate_references()
    }

    fn validate_fields(&self) -> Result<(), TenantProblem> {
        let tenant = Tenant {
            name: self.name.clone(),
            weight: self.weight,
            limits: self.limits,
            hosts: self.hosts.clone(),
            pools: self.pools.clone(),
        };
        let mut errors = tenant.validate();
        errors.extend(self.plans.iter().flat_map(Resource::validate));
        errors.extend(self.accounts.iter().flat_map(Resource::validate));
        errors.extend(self.routes.iter().flat_map(Resource::validate));
        errors.extend(validate_routes(&tenant, &self.routes));
        match errors.into_iter().next() {
            Some(error) => Err(TenantProblem::Field { field: error.field, reason: error.reason }),
            None => Ok(()),
        }
    }

    /// Checks that names are unique and that accounts refer to plans of the tenant. Accounts must be sorted by name.
    fn validate_references(&self) -> Result<(), TenantProblem> {
        let plans: BTreeSet<&str> = self.plans.iter().map(|plan| plan.name.as_str()).collect();
        if plans.len() < self.plans.len() {
            return Err(TenantProblem::DuplicatePlan);
        }
        if let Some(pair) = self.accounts.windows(2).find(|pair| pair[0].name == pair[1].name) {
            return Err(TenantProblem::DuplicateAccount(pair[0].name.clone()));
        }
        match self.accounts.iter().find(|account| !plans.contains(account.plan.as_str())) {
            Some(Account { name, plan }) => {
                Err(TenantProblem::UnknownPlan { account: name.clone(), plan: plan.clone() })
            }
            None => Ok(()),
        }
    }
}
