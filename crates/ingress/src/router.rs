//! To which pool a request goes. The table is replaced as a whole; a request that has been matched keeps the
//! pool that it was matched to.

use crate::guest::Guest;
use crate::pool::Pool;
use crate::request::{bad_request, Rejection};
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{StatusCode, Uri};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use violetyoke_routes::{normalize_target, RouteTable, TargetError};

/// The table in force.
pub struct Router {
    routing: RefCell<Rc<Routing>>,
}

pub enum Routing {
    /// Everything goes to one pool, as it came.
    SinglePool(Rc<Pool>),
    Table {
        table: Arc<RouteTable>,
        routes: Vec<Route>,
    },
}

pub struct Route {
    pub pool: Rc<Pool>,
    /// Class of requests that state none.
    pub class: Option<String>,
    /// Whose it is.
    pub tenant: Option<Rc<dyn Guest>>,
}

pub struct RouteMatch {
    pub pool: Rc<Pool>,
    /// What goes on to the node.
    pub uri: Uri,
    pub class: Option<u16>,
    pub tenant: Option<Rc<dyn Guest>>,
}

impl Router {
    pub fn new(routing: Routing) -> Router {
        Router { routing: RefCell::new(Rc::new(routing)) }
    }

    /// Returns what was in force, as far as nobody needs it any more: it may be large.
    pub fn replace(&self, routing: Routing) -> Option<Routing> {
        Rc::into_inner(self.routing.replace(Rc::new(routing)))
    }

    /// Whether errors are told in words: the platform's clients want none.
    pub fn explains_errors(&self) -> bool {
        matches!(**self.routing.borrow(), Routing::Table { .. })
    }

    /// Whether every pool knows its nodes.
    pub fn is_ready(&self) -> bool {
        match &**self.routing.borrow() {
            Routing::SinglePool(pool) => pool.ready.get(),
            Routing::Table { routes, .. } => routes.iter().all(|route| route.pool.ready.get()),
        }
    }

    pub fn find(&self, head: &Parts) -> Result<RouteMatch, Rejection> {
        let routing = self.routing.borrow();
        let (table, routes) = match &**routing {
            Routing::SinglePool(pool) => {
                let origin = head.uri.path_and_query().ok_or(bad_request("path: missing"))?;
                return Ok(RouteMatch {
                    pool: pool.clone(),
                    uri: Uri::from(origin.clone()),
                    class: None,
                    tenant: None,
                });
            }
            Routing::Table { table, routes } => (table, routes),
        };
        let origin = head.uri.path_and_query().ok_or(bad_request("path: must begin with /"))?;
        let absolute = head.uri.authority().map(|authority| authority.as_str());
        let hosts = head.headers.get_all(HOST).iter().map(|value| value.as_bytes());
        let target = normalize_target(absolute, hosts, origin.path()).map_err(why)?;
        let class = head.headers.get(crate::request::REQ_KIND).and_then(|class| class.to_str().ok());
        let number = table.find(&target.host, &target.path, head.method.as_str(), class);
        const NONE: Rejection = Rejection { code: StatusCode::NOT_FOUND, reason: "path: no route" };
        let route = number.and_then(|number| routes.get(number)).ok_or(NONE)?;
        let uri = match origin.query() {
            _ if target.path == origin.path() => Uri::from(origin.clone()),
            Some(query) => Uri::try_from(format!("{}?{query}", target.path))
                .map_err(|_| why(TargetError::AmbiguousEncoding))?,
            None => Uri::try_from(target.path).map_err(|_| why(TargetError::AmbiguousEncoding))?,
        };
        let class = route.class.as_ref().and_then(|class| route.pool.rules().class(class));
        Ok(RouteMatch { pool: route.pool.clone(), uri, class, tenant: route.tenant.clone() })
    }
}

fn why(reason: TargetError) -> Rejection {
    bad_request(reason.text())
}
