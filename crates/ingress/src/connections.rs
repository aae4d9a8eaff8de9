//! The table of client connections: the stage of each, and which are closed to make room for others.
//!
//! A process with a single pool has one limit for all connections. Where several pools share the process, a
//! connection counts against the pool or tenant whose request it carried last, and against [`UNASSIGNED`] until
//! its first request. The connection that has been idle the longest makes room for a new one of the same
//! member.

use super::pool::SharedCapacity;
use super::socket::Socket;
use super::tasks::{TaskHandle, TaskSet};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use violetyoke_shares::Member;

/// Minimum time without an open request after which a connection may be closed.
const MIN_IDLE: Duration = Duration::from_millis(2000);
/// How long a client may take to send a complete request head: the connection has to end within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2400);
/// How long a new connection may stay silent before `close_idle` closes it.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the input of a connection is discarded after its last response before it is closed.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(5000);

/// The entry in the shared capacity pool that connections count against until their first request is matched to a pool.
pub const UNASSIGNED: Member = 0;

/// All open client connections.
pub struct ConnectionTable {
    /// The descriptors that all pools of the process share; `None` in a process with a single pool.
    descriptors: Option<SharedCapacity>,
    /// Open connections by the order in which they were accepted.
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_id: Cell<u64>,
    /// Number of connections above which idle ones are closed.
    idle_close_threshold: usize,
    /// Number of connections at which no more are accepted.
    max_connections: usize,
    /// Notified whenever a connection leaves the table.
    pub freed: Notify,
}

/// A client connection in the table.
pub struct ClientConnection {
    pub socket: Socket,
    stage: Cell<Stage>,
    /// When the stage began.
    stage_started_at: Cell<Instant>,
    /// Bytes that had been read from the socket when the stage began.
    read_at_stage_start: Cell<u64>,
    task: RefCell<Option<TaskHandle>>,
    /// The member whose share of the descriptors it counts against; `None` once the descriptor has been
    /// released, or where descriptors are not shared.
    member: Cell<Option<Member>>,
    /// The task set that its task has to move to.
    pending_move: RefCell<Option<Rc<TaskSet>>>,
    /// Wakes the task in its current set.
    waker: RefCell<Option<Waker>>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// No complete request head has been received since the connection was opened, or part of the next one has.
    AwaitingHead,
    /// A request is open.
    Open,
    /// The last request has been answered and nothing of the next one has been read.
    Idle,
    /// The last response has been sent; input is discarded until the client closes.
    DiscardingInput,
    /// The task has been aborted.
    Closed,
}

impl ClientConnection {
    pub fn set_stage(&self, stage: Stage) {
        self.stage.set(stage);
        self.stage_started_at.set(Instant::now());
        self.read_at_stage_start.set(self.socket.bytes_read());
    }

    pub fn set_task(&self, task: TaskHandle) {
        *self.task.borrow_mut() = Some(task);
    }

    /// Returns the task set that the connection's task has to move to, and clears it.
    pub fn take_pending_move(&self) -> Option<Rc<TaskSet>> {
        self.pending_move.borrow_mut().take()
    }

    pub fn store_waker(&self, waker: &Waker) {
        let mut stored = self.waker.borrow_mut();
        if !stored.as_ref().is_some_and(|stored| stored.will_wake(waker)) {
            *stored = Some(waker.clone());
        }
    }

    fn set_pending_move(&self, set: Option<&Rc<TaskSet>>) {
        *self.pending_move.borrow_mut() = set.cloned();
    }

    fn is_closable(&self) -> bool {
        matches!(self.stage.get(), Stage::AwaitingHead | Stage::Idle | Stage::DiscardingInput)
    }

    fn close(&self) {
        self.stage.set(Stage::Closed);
        if let Some(task) = self.task.borrow().as_ref() {
            task.abort();
        }
    }
}

/// Removes the connection from the table when its task ends for whatever reason.
pub struct ConnectionGuard {
    table: Rc<ConnectionTable>,
    id: u64,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let connection = self.table.connections.borrow_mut().remove(&self.id);
        if let Some(connection) = connection {
            self.table.release_descriptor(&connection);
        }
        self.table.freed.notify_one();
    }
}

impl ConnectionTable {
    /// For a process with a single pool; `sockets` is the process's limit of open sockets.
    pub fn standalone(sockets: usize) -> Rc<ConnectionTable> {
        // Idle connections are closed above 7/16 of the sockets, and no more are accepted at 5/8. The rest is for
        // connections to nodes (5/16, in `platform.rs`) and other uses.
        ConnectionTable::new(None, sockets * 7 / 16, sockets * 5 / 8)
    }

    /// For a process whose pools share its descriptors.
    pub fn with_shared_capacity(capacity: SharedCapacity) -> Rc<ConnectionTable> {
        ConnectionTable::new(Some(capacity), usize::MAX, usize::MAX)
    }

    fn new(
        descriptors: Option<SharedCapacity>,
        idle_close_threshold: usize,
        max_connections: usize,
    ) -> Rc<ConnectionTable> {
        let connections = RefCell::default();
        Rc::new(ConnectionTable {
            descriptors,
            connections,
            next_id: Cell::new(0),
            idle_close_threshold,
            max_connections,
            freed: Notify::new(),
        })
    }

    fn release_descriptor(&self, connection: &ClientConnection) {
        if let (Some(capacity), Some(member)) = (&self.descriptors, connection.member.take()) {
            capacity.borrow_mut().release(member, 1);
        }
    }

    /// Acquires a descriptor for a member. If none is available, the member's connection that has been idle the
    /// longest is closed; its descriptor is freed shortly afterwards, when its task is dropped.
    fn acquire_descriptor(&self, capacity: &SharedCapacity, member: Member) -> bool {
        if capacity.borrow_mut().try_acquire(member, 1) {
            return true;
        }
        let connections = self.connections.borrow();
        let closable = connections
            .values()
            .filter(|connection| connection.member.get() == Some(member) && connection.is_closable());
        let Some(longest_idle) = closable.min_by_key(|connection| connection.stage_started_at.get()) else {
            return false;
        };
        self.release_descriptor(longest_idle);
        longest_idle.close();
        capacity.borrow_mut().try_acquire(member, 1)
    }

    /// Counts a connection against the pool or tenant whose request it carries now, and moves its task to that
    /// member's task set. Returns false if the member has reached its limit of connections.
    pub fn assign(
        &self,
        connection: &ClientConnection,
        member: Member,
        set: impl FnOnce() -> Option<Rc<TaskSet>>,
    ) -> bool {
        let Some(capacity) = &self.descriptors else { return true };
        if connection.member.get() == Some(member) {
            return true;
        }
        if !self.acquire_descriptor(capacity, member) {
            return false;
        }
        self.release_descriptor(connection);
        connection.member.set(Some(member));
        connection.set_pending_move(set().as_ref());
        true
    }

    /// Returns the connections of a removed pool or tenant to [`UNASSIGNED`] and its task set.
    pub fn unassign(&self, member: Member, unassigned_tasks: &Rc<TaskSet>) {
        let Some(capacity) = &self.descriptors else { return };
        for connection in
            self.connections.borrow().values().filter(|connection| connection.member.get() == Some(member))
        {
            self.release_descriptor(connection);
            capacity.borrow_mut().acquire_unchecked(UNASSIGNED, 1);
            connection.member.set(Some(UNASSIGNED));
            connection.set_pending_move(Some(unassigned_tasks));
            if let Some(waker) = connection.waker.borrow().as_ref() {
                waker.wake_by_ref();
            }
        }
    }

    /// Registers a new connection; `None` if there is no descriptor for it.
    pub fn register(
        self: &Rc<ConnectionTable>,
        socket: Socket,
    ) -> Option<(Rc<ClientConnection>, ConnectionGuard)> {
        if self.descriptors.as_ref().is_some_and(|capacity| !self.acquire_descriptor(capacity, UNASSIGNED)) {
            return None;
        }
        let connection = Rc::new(ClientConnection {
            socket,
            stage: Cell::new(Stage::AwaitingHead),
            stage_started_at: Cell::new(Instant::now()),
            read_at_stage_start: Cell::new(0),
            task: RefCell::default(),
            member: Cell::new(self.descriptors.as_ref().map(|_| UNASSIGNED)),
            pending_move: RefCell::default(),
            waker: RefCell::default(),
        });
        let id = self.next_id.replace(self.next_id.get() + 1);
        self.connections.borrow_mut().insert(id, connection.clone());
        Some((connection, ConnectionGuard { table: self.clone(), id }))
    }

    pub fn count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Whether so many connections are open that each is closed after its response, so that the client
    /// reconnects behind those that are waiting to be accepted.
    pub fn is_crowded(&self) -> bool {
        self.count() > self.idle_close_threshold
    }

    pub fn has_capacity(&self) -> bool {
        self.count() < self.max_connections
    }

    /// Closes connections that are idle and have received no part of a request. A client whose request is sent
    /// at the same moment has to retry it.
    pub fn close_idle(&self) {
        let connections = self.connections.borrow();
        let nothing_read = |connection: &ClientConnection| {
            connection.socket.bytes_read() == connection.read_at_stage_start.get()
                && connection.socket.has_no_input()
        };
        let idle = connections.values().filter(|connection| {
            let is_idle = match connection.stage.get() {
                Stage::Idle => !connection.socket.is_write_blocked(),
                Stage::AwaitingHead => connection.stage_started_at.get().elapsed() >= FIRST_BYTE_TIMEOUT,
                _ => false,
            };
            is_idle && nothing_read(connection)
        });
        idle.for_each(|connection| connection.close());
    }

    /// Closes connections that exceed the time limit of their stage and, above the threshold, those that have
    /// been idle the longest. Without this, silent clients could occupy the whole table and no other would be
    /// accepted.
    pub fn close_overdue(&self) {
        let now = Instant::now();
        let connections = self.connections.borrow();
        let mut idle = Vec::new();
        for connection in connections.values() {
            if connection.stage.get() == Stage::Idle
                && connection.socket.bytes_read() > connection.read_at_stage_start.get()
            {
                // `read_at_stage_start` keeps its value: `close_idle` has to see that part of a head has
                // arrived.
                connection.stage.set(Stage::AwaitingHead);
                connection.stage_started_at.set(now);
            }
            let age = now.saturating_duration_since(connection.stage_started_at.get());
            match connection.stage.get() {
                Stage::AwaitingHead if age >= HEAD_TIMEOUT => connection.close(),
                Stage::DiscardingInput if age >= DISCARD_TIMEOUT => connection.close(),
                Stage::Idle | Stage::AwaitingHead
                    if age >= MIN_IDLE && !connection.socket.is_write_blocked() =>
                {
                    idle.push((connection.stage_started_at.get(), connection));
                }
                _ => {}
            }
        }
        idle.sort_by_key(|(stage_started_at, _)| *stage_started_at);
        let excess = connections.len().saturating_sub(self.idle_close_threshold);
        idle.into_iter().take(excess).for_each(|(_, connection)| connection.close());
    }
}
