//! Fair sharing of the processor among pools and tenants. The tasks of each member (a pool's driver, its attempts, its
//! clients' connections) form a task set. The executor polls one task at a time, of the set that [`FairScheduler`] selects,
//! and charges the set for the time of the poll. An overloaded pool thus delays the others by one turn, and not by its whole
//! queue of tasks.

use crate::tasks::{TaskHandle, TaskSet};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use violetyoke_shares::{FairScheduler, Member};

/// The time that a member of weight 1 may use in one turn, in microseconds. It is enough for several polls of a task, so
/// that a turn rarely exceeds it.
const QUANTUM: u64 = 200;
/// The time for which tasks are polled before the runtime checks sockets and timers again. Without this limit, it would
/// check them only when all sets are idle, and no deadlines would be met in an overload.
const MAX_POLL_TIME: Duration = Duration::from_micros(500);

thread_local! {
    /// Whether there are task sets. The platform's program never sets this flag, so the linker's optimiser removes all code
    /// and memory for task sets from it.
    static HAS_TASK_SETS: Cell<bool> = const { Cell::new(false) };
    static WAKE_QUEUE: RefCell<Option<Arc<WakeQueue>>> = const { RefCell::new(None) };
}

/// The wake queue of this thread's task sets; `None` if there are no task sets.
pub fn wake_queue() -> Option<Arc<WakeQueue>> {
    if !HAS_TASK_SETS.get() {
        return None;
    }
    WAKE_QUEUE.with_borrow(Clone::clone)
}

/// Charges a member for work, in microseconds, that a task of another member has done on its behalf.
pub fn charge(member: Member, cost: u64) {
    if let Some(wake_queue) = wake_queue() {
        wake_queue.charges.lock().unwrap_or_else(PoisonError::into_inner).push((member, cost));
    }
}

/// The members with tasks that are ready to be polled, and the waker of the executor.
#[derive(Default)]
pub struct WakeQueue {
    state: Mutex<(Vec<Member>, Option<Waker>)>,
    /// Work on behalf of members in the turns of other members, in microseconds.
    charges: Mutex<Vec<(Member, u64)>>,
}

impl WakeQueue {
    /// Marks a member as ready, and wakes the executor.
    pub fn wake(&self, member: Member) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if !state.0.contains(&member) {
            state.0.push(member);
        }
        if let Some(waker) = &state.1 {
            waker.wake_by_ref();
        }
    }
}

/// Adds, changes and removes task sets. The changes are applied when the executor is polled next.
#[derive(Default)]
pub struct TaskSets {
    wake_queue: Arc<WakeQueue>,
    pending: RefCell<Vec<Change>>,
}

enum Change {
    Add(u64, Rc<TaskSet>),
    Weight(Member, u64),
    Remove(Member),
}

impl TaskSets {
    pub fn add(&self, member: Member, weight: u64) -> Rc<TaskSet> {
        let set = TaskSet::new(member);
        self.pending.borrow_mut().push(Change::Add(weight, set.clone()));
        set
    }

    pub fn set_weight(&self, member: Member, weight: u64) {
        self.pending.borrow_mut().push(Change::Weight(member, weight));
    }

    /// Removes a set. Its tasks must have ended.
    pub fn remove(&self, member: Member) {
        self.pending.borrow_mut().push(Change::Remove(member));
    }

    pub fn spawn(&self, set: &TaskSet, future: impl Future<Output = ()> + 'static) -> TaskHandle {
        set.spawn(&self.wake_queue, future)
    }
}

/// Polls the tasks of all sets, until a task sets the flag `is_done`.
pub struct FairExecutor {
    sets: Rc<TaskSets>,
    scheduler: FairScheduler,
    sets_by_member: BTreeMap<Member, Rc<TaskSet>>,
    is_done: Rc<Cell<bool>>,
}

impl FairExecutor {
    /// Creates an executor for task sets. There is one for each thread.
    pub fn new(sets: Rc<TaskSets>, is_done: Rc<Cell<bool>>) -> FairExecutor {
        HAS_TASK_SETS.set(true);
        WAKE_QUEUE.set(Some(sets.wake_queue.clone()));
        FairExecutor {
            sets,
            scheduler: FairScheduler::new(QUANTUM),
            sets_by_member: BTreeMap::new(),
            is_done,
        }
    }

    fn apply_changes(&mut self) {
        for change in self.sets.pending.take() {
            match change {
                Change::Weight(member, weight) => self.scheduler.set_weight(member, weight),
                Change::Add(weight, set) => {
                    self.scheduler.set_weight(set.member(), weight);
                    self.scheduler.mark_ready(set.member());
                    self.sets_by_member.insert(set.member(), set);
                }
                Change::Remove(member) => {
                    self.scheduler.remove(member);
                    self.sets_by_member.remove(&member);
                }
            }
        }
    }

    fn mark_woken_ready(&mut self) {
        let woken =
            std::mem::take(&mut self.sets.wake_queue.state.lock().unwrap_or_else(PoisonError::into_inner).0);
        woken.into_iter().for_each(|member| self.scheduler.mark_ready(member));
    }

    /// Charges members for work on their behalf in the turn of another member, and returns the sum, which that member is not
    /// charged for. If it were, a pool that does work for many tenants would get its turns too rarely, and all of the
    /// tenants would wait for it.
    fn apply_charges(&mut self) -> u64 {
        let mut charges = self.sets.wake_queue.charges.lock().unwrap_or_else(PoisonError::into_inner);
        let mut total = 0;
        for (member, cost) in charges.drain(..) {
            self.scheduler.charge(member, cost);
            total += cost;
        }
        total
    }
}

impl Future for FairExecutor {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        this.sets.wake_queue.state.lock().unwrap_or_else(PoisonError::into_inner).1 =
            Some(cx.waker().clone());
        let poll_started_at = Instant::now();
        let mut turn_started_at = poll_started_at;
        loop {
            this.apply_changes();
            this.mark_woken_ready();
            if this.is_done.get() {
                return Poll::Ready(());
            }
            let Some(member) = this.scheduler.next_turn() else { return Poll::Pending };
            let Some(set) = this.sets_by_member.get(&member) else {
                this.scheduler.remove(member);
                continue;
            };
            if turn_started_at - poll_started_at >= MAX_POLL_TIME {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            let has_more = set.run_one();
            let turn_ended_at = Instant::now();
            let charged_to_others = this.apply_charges();
            let own_cost =
                ((turn_ended_at - turn_started_at).as_micros() as u64).saturating_sub(charged_to_others);
            this.scheduler.end_turn(member, own_cost + 1, has_more);
            turn_started_at = turn_ended_at;
        }
    }
}

#[cfg(test)]
mod tests;
