//! Selects the pool for a request. The routing table is replaced as a whole; a request that has been matched
//! keeps its pool.

use crate::pool::Pool;
use crate::request::{bad_request, Rejection};
use crate::tenant_access::TenantAccess;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{StatusCode, Uri};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use violetyoke_routes::{normalize_target, RouteTable, TargetError};

/// Holds the current routing table.
pub struct Router {
    routing: RefCell<Rc<Routing>>,
}

pub enum Routing {
    /// Every request goes to the same pool with its target unchanged.
    SinglePool(Rc<Pool>),
    Table {
        table: Arc<RouteTable>,
        routes: Vec<Route>,
    },
}

pub struct Route {
    pub pool: Rc<Pool>,
    /// The class of requests that name none.
    pub class: Option<String>,
    /// The tenant that owns the route, if any.
    pub tenant: Option<Rc<dyn TenantAccess>>,
}

pub struct RouteMatch {
    pub pool: Rc<Pool>,
    /// The normalized request target that is sent to the backend.
    pub uri: Uri,
    pub class: Option<u16>,
    pub tenant: Option<Rc<dyn TenantAccess>>,
}

impl Router {
    pub fn new(routing: Routing) -> Router {
        Router { routing: RefCell::new(Rc::new(routing)) }
    }

    /// Returns the previous table unless a request still uses it, so that the caller can drop it elsewhere: it
    /// may be large.
    pub fn replace(&self, routing: Routing) -> Option<Routing> {
        Rc::into_inner(self.routing.replace(Rc::new(routing)))
    }

    /// Whether rejections have their reason as the body; in a process with a single pool (the platform program) they have none.
    pub fn includes_rejection_reason(&self) -> bool {
        matches!(**self.routing.borrow(), Routing::Table { .. })
    }

    /// Whether every pool has received a list of its backends.
    pub fn is_ready(&self) -> bool {
        match &**self.routing.borrow() {
            Routing::SinglePool(pool) => pool.has_backend_list.get(),
            Routing::Table { routes, .. } => routes.iter().all(|route| route.pool.has_backend_list.get()),
        }
    }

    pub fn find(&self, head: &Parts) -> Result<RouteMatch, Rejection> {
        let routing = self.routing.borrow();
        let (table, routes) = match &**routing {
            Routing::SinglePool(pool) => {
                let path_and_query = head.uri.path_and_query().ok_or(bad_request("path: missing"))?;
                return Ok(RouteMatch {
                    pool: pool.clone(),
                    uri: Uri::from(path_and_query.clone()),
                    class: None,
                    tenant: None,
                });
            }
            Routing::Table { table, routes } => (table, routes),
        };
        let path_and_query = head.uri.path_and_query().ok_or(bad_request("path: must begin with /"))?;
        let uri_host = head.uri.authority().map(|authority| authority.as_str());
        let hosts = head.headers.get_all(HOST).iter().map(|value| value.as_bytes());
        let target = normalize_target(uri_host, hosts, path_and_query.path()).map_err(target_rejection)?;
        let class = head.headers.get(crate::request::REQ_KIND).and_then(|class| class.to_str().ok());
        let index = table.find(&target.host, &target.path, head.method.as_str(), class);
        const NO_ROUTE: Rejection = Rejection { code: StatusCode::NOT_FOUND, reason: "path: no route" };
        let route = index.and_then(|index| routes.get(index)).ok_or(NO_ROUTE)?;
        let uri = match path_and_query.query() {
            _ if target.path == path_and_query.path() => Uri::from(path_and_query.clone()),
            Some(query) => Uri::try_from(format!("{}?{query}", target.path))
                .map_err(|_| target_rejection(TargetError::AmbiguousEncoding))?,
            None => {
                Uri::try_from(target.path).map_err(|_| target_rejection(TargetError::AmbiguousEncoding))?
            }
        };
        let class = route.class.as_ref().and_then(|class| route.pool.rules().class(class));
        Ok(RouteMatch { pool: route.pool.clone(), uri, class, tenant: route.tenant.clone() })
    }
}

fn target_rejection(error: TargetError) -> Rejection {
    bad_request(error.text())
}
