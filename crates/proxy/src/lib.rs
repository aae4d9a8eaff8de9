//! The proxy. A request's way: `front` (connections of clients), `request` (route, tenant, limit), `attempts` (which
//! backends, again or not), `backend` (one attempt on one connection). `news` brings what registries tell, `counting`
//! asks for the tenants' counts, `ready` answers the platform.

mod attempts;
mod backend;
mod body;
mod counting;
pub mod daemon;
mod figures;
mod front;
mod learning;
mod news;
mod ready;
mod request;
mod state;
mod waiting;
