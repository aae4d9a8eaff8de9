//! A stub of service discovery: a list of nodes over HTTP, and a watch on its changes (`GET
//! /?index=REVISION&wait=MS`).

use crate::http::{read_http, HttpMessage};
use crate::{any_port, listen, lock};
use serde_json::{json, Value};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time that a watch waits for a change (ms).
const MAX_WAIT_MS: u64 = 60_000;

/// A running discovery; its threads end with the process.
#[derive(Clone)]
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    list: Mutex<List>,
    changed: Condvar,
}

#[derive(Default)]
struct List {
    revision: u64,
    members: Vec<Value>,
    changes: Vec<Change>,
    is_silent: bool,
    is_overloaded: bool,
    calls: u32,
    full_list_calls: u32,
}

struct Change {
    revision: u64,
    member: Value,
}

/// The parameters of a call.
struct Query {
    /// The revision that the caller knows; `None` if it requests the complete list.
    known: Option<u64>,
    wait: Duration,
}

/// An entry of the list; `phase` is `in_service`, `terminating` or `terminated`.
pub fn member(id: &str, address: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "hall-a", "flavor": "std-2c", "cell": 0,
           "phase": phase, "size": 1.0, "up_since_ms": 0})
}

impl Discovery {
    /// Starts it on any port.
    ///
    /// # Panics
    /// When it cannot listen on a loopback address.
    #[expect(clippy::expect_used, reason = "for tests: without a loopback address no test can run")]
    pub fn start(members: Vec<Value>) -> Discovery {
        Discovery::start_at(any_port(), members).expect("a loopback address")
    }

    /// Starts the discovery with these entries at revision 1.
    ///
    /// # Errors
    /// Those of the listener.
    pub fn start_at(address: SocketAddr, members: Vec<Value>) -> io::Result<Discovery> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let list = Mutex::new(List { revision: 1, members, ..List::default() });
        let state = Arc::new(State { list, changed: Condvar::new() });
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(stream));
            }
        });
        Ok(Discovery { address, state })
    }

    /// Adds or replaces an entry, and wakes the watches.
    pub fn update(&self, member: Value) {
        let mut list = lock(&self.state.list);
        list.revision += 1;
        list.members.retain(|other| other["id"] != member["id"]);
        list.members.push(member.clone());
        let revision = list.revision;
        list.changes.push(Change { revision, member });
        self.state.changed.notify_all();
    }

    /// Sets whether calls get no response from now on.
    pub fn set_silent(&self, is_silent: bool) {
        lock(&self.state.list).is_silent = is_silent;
        self.state.changed.notify_all();
    }

    /// Sets whether calls get a response 503 at once from now on.
    pub fn set_overloaded(&self, is_overloaded: bool) {
        lock(&self.state.list).is_overloaded = is_overloaded;
    }

    /// The number of calls so far.
    pub fn calls(&self) -> u32 {
        lock(&self.state.list).calls
    }

    /// The number of calls so far that requested the complete list.
    pub fn full_list_calls(&self) -> u32 {
        lock(&self.state.list).full_list_calls
    }
}

impl State {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        // Pipelined responses must not wait for the peer's acknowledgements.
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_http(&mut reader) {
            let query = Query::from(&request);
            let mut list = lock(&self.list);
            list.calls += 1;
            list.full_list_calls += u32::from(query.known.is_none());
            if list.is_overloaded {
                drop(list);
                return stream
                    .write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            }
            let list = self.wait_for_change(list, &query);
            if list.is_silent {
                continue;
            }
            let body = list.response(query.known).to_string();
            drop(list);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all((head + &body).as_bytes())?;
        }
        Ok(())
    }

    /// Waits until the list is newer than the caller's revision, or the caller's time limit has passed.
    fn wait_for_change<'a>(&'a self, mut list: MutexGuard<'a, List>, query: &Query) -> MutexGuard<'a, List> {
        let deadline = Instant::now() + query.wait;
        while query.known.is_some_and(|known| list.revision <= known) && Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            list = self.changed.wait_timeout(list, left).unwrap_or_else(PoisonError::into_inner).0;
        }
        list
    }
}

impl List {
    /// The complete list, or the changes since the known revision.
    fn response(&self, known: Option<u64>) -> Value {
        let members: Vec<&Value> = match known {
            None => self.members.iter().collect(),
            Some(known) => {
                let newer = self.changes.iter().filter(|change| change.revision > known);
                newer.map(|change| &change.member).collect()
            }
        };
        json!({"revision": self.revision, "complete": known.is_none(), "members": members})
    }
}

impl From<&HttpMessage> for Query {
    fn from(request: &HttpMessage) -> Query {
        let target = request.start_line.split(' ').nth(1).unwrap_or_default();
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let wait = Duration::from_millis(number("wait").unwrap_or(0).min(MAX_WAIT_MS));
        Query { known: number("index"), wait }
    }
}
