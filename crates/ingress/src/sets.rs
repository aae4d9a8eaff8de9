//! The pools' turns on the core. Each pool's tasks (its driver, its attempts, its clients' connections) live in
//! a task set of their own; this polls one set after another as [`Turns`] says, and charges each for the time
//! that it took. One pool's flood then lengthens another's wait by a turn, and not by its queue.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Wake, Waker};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::LocalSet;
use violetyoke_shares::{Member, Turns};

/// What a pool of weight 1 may use in a turn, in microseconds: about what one poll of a busy set takes (61 tasks
/// at most), so that a turn rarely leaves a debt.
const QUANTUM: u64 = 500;
/// For how long sets are polled before the runtime looks at sockets and timers again. Without it they would be
/// looked at only when all sets are idle, and nobody's deadline would be kept under a flood.
const SLICE: Duration = Duration::from_micros(1_000);

/// The sets, for those who add and end them.
#[derive(Default)]
pub struct Sets {
    pending: RefCell<Vec<Change>>,
    waker: RefCell<Option<Waker>>,
}

enum Change {
    Add(Member, u64, Rc<LocalSet>, Rc<Notify>),
    Weight(Member, u64),
}

impl Sets {
    /// Adds a set; it runs until `end` is notified, and its tasks are dropped then.
    pub fn add(&self, member: Member, weight: u64, end: Rc<Notify>) -> Rc<LocalSet> {
        let set = Rc::new(LocalSet::new());
        self.change(Change::Add(member, weight, set.clone(), end));
        set
    }

    pub fn weigh(&self, member: Member, weight: u64) {
        self.change(Change::Weight(member, weight));
    }

    fn change(&self, change: Change) {
        self.pending.borrow_mut().push(change);
        if let Some(waker) = self.waker.borrow().as_ref() {
            waker.wake_by_ref();
        }
    }
}

/// Runs all sets until one of them ends the whole.
pub struct Running {
    sets: Rc<Sets>,
    turns: Turns,
    runs: BTreeMap<Member, Run>,
    woken: Arc<Woken>,
    over: Rc<Cell<bool>>,
}

struct Run {
    work: Pin<Box<dyn Future<Output = ()>>>,
    waker: Waker,
}

/// Members whose sets have something to do, and how to wake the whole.
#[derive(Default)]
struct Woken {
    state: Mutex<(Vec<Member>, Option<Waker>)>,
}

struct OneWoken {
    member: Member,
    woken: Arc<Woken>,
}

impl Wake for OneWoken {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        let mut state = self.woken.state.lock().unwrap_or_else(PoisonError::into_inner);
        if !state.0.contains(&self.member) {
            state.0.push(self.member);
        }
        if let Some(waker) = &state.1 {
            waker.wake_by_ref();
        }
    }
}

impl Running {
    /// `over` ends it.
    pub fn new(sets: Rc<Sets>, over: Rc<Cell<bool>>) -> Running {
        Running { sets, turns: Turns::new(QUANTUM), runs: BTreeMap::new(), woken: Arc::default(), over }
    }

    fn take_changes(&mut self) {
        for change in self.sets.pending.take() {
            match change {
                Change::Weight(member, weight) => self.turns.set(member, weight),
                Change::Add(member, weight, set, end) => {
                    let waker = Waker::from(Arc::new(OneWoken { member, woken: self.woken.clone() }));
                    let work = Box::pin(async move { set.run_until(end.notified()).await });
                    self.runs.insert(member, Run { work, waker });
                    self.turns.set(member, weight);
                    self.turns.ready(member);
                }
            }
        }
    }

    /// Tells the turns who has something to do, and whether that is so of `member`.
    fn take_woken(&mut self, member: Option<Member>) -> bool {
        let woken = std::mem::take(&mut self.woken.state.lock().unwrap_or_else(PoisonError::into_inner).0);
        let more = woken.iter().any(|woken| Some(*woken) == member);
        woken.into_iter().for_each(|woken| self.turns.ready(woken));
        more
    }
}

impl Future for Running {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        *this.sets.waker.borrow_mut() = Some(cx.waker().clone());
        this.woken.state.lock().unwrap_or_else(PoisonError::into_inner).1 = Some(cx.waker().clone());
        let slice = Instant::now();
        loop {
            this.take_changes();
            this.take_woken(None);
            if this.over.get() {
                return Poll::Ready(());
            }
            let Some(member) = this.turns.whose() else { return Poll::Pending };
            let Some(run) = this.runs.get_mut(&member) else {
                this.turns.remove(member);
                continue;
            };
            let began = Instant::now();
            if began - slice >= SLICE {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            let ended = run.work.as_mut().poll(&mut Context::from_waker(&run.waker)).is_ready();
            let cost = began.elapsed().as_micros() as u64 + 1;
            if ended {
                this.runs.remove(&member);
                this.turns.remove(member);
                continue;
            }
            // Woken while it ran: it has more to do, and goes on while its turn lasts.
            let more = this.take_woken(Some(member));
            this.turns.used(member, cost, more);
        }
    }
}
