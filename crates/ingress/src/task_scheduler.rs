//! The pools' turns on the core. Each pool's tasks (its driver, its attempts, its clients' connections) are a set
//! of their own; this polls one task after another, of the set that [`Turns`] names, and charges that set for the
//! time that it took. One pool's flood then lengthens another's wait by a turn, and not by its queue.

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

/// What a pool of weight 1 may use in a turn, in microseconds: several polls of a task, so that a turn rarely
/// leaves a debt.
const QUANTUM: u64 = 200;
/// For how long tasks are polled before the runtime looks at sockets and timers again. Without it they would be
/// looked at only when all sets are idle, and nobody's deadline would be kept under a flood.
const SLICE: Duration = Duration::from_micros(500);

thread_local! {
    /// Whether there are sets. Plain and never written in the platform's program, so that the linker's optimiser
    /// finds what is for sets only to be dead there: it would be memory held and never used.
    static ANY: Cell<bool> = const { Cell::new(false) };
    static WOKEN: RefCell<Option<Arc<WakeQueue>>> = const { RefCell::new(None) };
}

/// How tasks of this thread's sets tell that they have something to do; none: there are no sets.
pub fn wake_queue() -> Option<Arc<WakeQueue>> {
    if !ANY.get() {
        return None;
    }
    WOKEN.with_borrow(Clone::clone)
}

/// Charges a member for what another's task has done for it, in microseconds.
pub fn charge(member: Member, cost: u64) {
    if let Some(woken) = wake_queue() {
        woken.charges.lock().unwrap_or_else(PoisonError::into_inner).push((member, cost));
    }
}

/// Members whose sets have something to do, and how to wake the whole.
#[derive(Default)]
pub struct WakeQueue {
    state: Mutex<(Vec<Member>, Option<Waker>)>,
    /// What has been done for members in others' turns, in microseconds.
    charges: Mutex<Vec<(Member, u64)>>,
}

impl WakeQueue {
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

/// The sets, for those who add and end them.
#[derive(Default)]
pub struct TaskSets {
    woken: Arc<WakeQueue>,
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

    /// Ends a set's turns. Its tasks must have ended.
    pub fn remove(&self, member: Member) {
        self.pending.borrow_mut().push(Change::Remove(member));
    }

    pub fn spawn(&self, set: &TaskSet, future: impl Future<Output = ()> + 'static) -> TaskHandle {
        set.spawn(&self.woken, future)
    }
}

/// Runs all sets until one of their tasks ends the whole.
pub struct FairExecutor {
    sets: Rc<TaskSets>,
    scheduler: FairScheduler,
    runs: BTreeMap<Member, Rc<TaskSet>>,
    over: Rc<Cell<bool>>,
}

impl FairExecutor {
    /// `over` ends it.
    pub fn new(sets: Rc<TaskSets>, over: Rc<Cell<bool>>) -> FairExecutor {
        ANY.set(true);
        WOKEN.set(Some(sets.woken.clone()));
        FairExecutor { sets, scheduler: FairScheduler::new(QUANTUM), runs: BTreeMap::new(), over }
    }

    fn take_changes(&mut self) {
        for change in self.sets.pending.take() {
            match change {
                Change::Weight(member, weight) => self.scheduler.set_weight(member, weight),
                Change::Add(weight, set) => {
                    self.scheduler.set_weight(set.member(), weight);
                    self.scheduler.mark_ready(set.member());
                    self.runs.insert(set.member(), set);
                }
                Change::Remove(member) => {
                    self.scheduler.remove(member);
                    self.runs.remove(&member);
                }
            }
        }
    }

    fn take_woken(&mut self) {
        let woken =
            std::mem::take(&mut self.sets.woken.state.lock().unwrap_or_else(PoisonError::into_inner).0);
        woken.into_iter().for_each(|member| self.scheduler.mark_ready(member));
    }

    /// Charges members for what was done for them in another's turn; the sum, which is not that one's cost. Were it
    /// charged twice, a pool that works for a crowd would have its turns too seldom, and all would wait for it.
    fn take_charges(&mut self) -> u64 {
        let mut charges = self.sets.woken.charges.lock().unwrap_or_else(PoisonError::into_inner);
        let mut sum = 0;
        for (member, cost) in charges.drain(..) {
            self.scheduler.charge(member, cost);
            sum += cost;
        }
        sum
    }
}

impl Future for FairExecutor {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        this.sets.woken.state.lock().unwrap_or_else(PoisonError::into_inner).1 = Some(cx.waker().clone());
        let slice = Instant::now();
        let mut began = slice;
        loop {
            this.take_changes();
            this.take_woken();
            if this.over.get() {
                return Poll::Ready(());
            }
            let Some(member) = this.scheduler.next_turn() else { return Poll::Pending };
            let Some(set) = this.runs.get(&member) else {
                this.scheduler.remove(member);
                continue;
            };
            if began - slice >= SLICE {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            let more = set.run_one();
            let ended = Instant::now();
            let for_others = this.take_charges();
            let own = ((ended - began).as_micros() as u64).saturating_sub(for_others);
            this.scheduler.end_turn(member, own + 1, more);
            began = ended;
        }
    }
}

#[cfg(test)]
mod tests;
