//! Task spawning on a single thread. A task started by a pool's task belongs to the pool's task set too, so
//! that the fair scheduler counts its work for that pool. Where there are no task sets (the platform's
//! program), tasks are tokio's own.

use crate::task_scheduler::WakeQueue;
use async_task::{Runnable, Task};
use hyper::rt::Executor;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::task::AbortHandle;
use violetyoke_shares::Member;

thread_local! {
    static CURRENT: RefCell<Option<Rc<TaskSet>>> = const { RefCell::new(None) };
}

/// The tasks of one member of the fair scheduler, such as a pool or a tenant.
pub struct TaskSet {
    member: Member,
    queue: Arc<Queue>,
}

/// Tasks that are ready to be polled, in the order in which they were woken.
#[derive(Default)]
struct Queue {
    runnable: Mutex<VecDeque<Runnable>>,
}

impl TaskSet {
    pub fn new(member: Member) -> Rc<TaskSet> {
        Rc::new(TaskSet { member, queue: Arc::default() })
    }

    pub fn member(&self) -> Member {
        self.member
    }

    /// Starts a task in this set; `wake_queue` is notified whenever the task becomes ready.
    pub fn spawn(
        &self,
        wake_queue: &Arc<WakeQueue>,
        future: impl Future<Output = ()> + 'static,
    ) -> TaskHandle {
        let (queue, wake_queue, member) = (self.queue.clone(), wake_queue.clone(), self.member);
        let schedule = move |runnable| {
            queue.runnable.lock().unwrap_or_else(PoisonError::into_inner).push_back(runnable);
            wake_queue.wake(member);
        };
        let (runnable, task) = async_task::spawn_local(future, schedule);
        runnable.schedule();
        TaskHandle(Inner::TaskSet(RefCell::new(Some(task))))
    }

    /// Polls the task that has been ready the longest, and returns whether more are ready.
    pub fn run_one(self: &Rc<TaskSet>) -> bool {
        let next = self.queue.runnable.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
        if let Some(next) = next {
            let previous = CURRENT.replace(Some(self.clone()));
            next.run();
            CURRENT.set(previous);
        }
        !self.queue.runnable.lock().unwrap_or_else(PoisonError::into_inner).is_empty()
    }
}

/// Starts a task in the set of the task that calls this, or on tokio if there is none.
pub fn spawn(future: impl Future<Output = ()> + 'static) -> TaskHandle {
    let Some(wake_queue) = crate::task_scheduler::wake_queue() else {
        return TaskHandle(Inner::Tokio(tokio::task::spawn_local(future).abort_handle()));
    };
    match CURRENT.with_borrow(Clone::clone) {
        Some(set) => set.spawn(&wake_queue, future),
        None => TaskHandle(Inner::Tokio(tokio::task::spawn_local(future).abort_handle())),
    }
}

/// Starts a task in the given set, whichever set the caller runs in.
pub fn spawn_in(set: &TaskSet, future: impl Future<Output = ()> + 'static) {
    if let Some(wake_queue) = crate::task_scheduler::wake_queue() {
        drop(set.spawn(&wake_queue, future));
    }
}

/// A hyper executor that spawns with [`spawn`], so that a connection's tasks run in its own set.
#[derive(Clone, Copy)]
pub struct LocalExecutor;

impl<F: Future + 'static> Executor<F> for LocalExecutor {
    fn execute(&self, future: F) {
        spawn(async move {
            let _ = future.await;
        });
    }
}

/// A handle that can abort a task. Dropping it detaches the task, which goes on.
pub struct TaskHandle(Inner);

enum Inner {
    Tokio(AbortHandle),
    TaskSet(RefCell<Option<Task<()>>>),
}

impl TaskHandle {
    /// Aborts the task; in a task set it is dropped in the set's next turn.
    pub fn abort(&self) {
        match &self.0 {
            Inner::Tokio(task) => task.abort(),
            Inner::TaskSet(task) => drop(task.take()),
        }
    }
}

impl Drop for TaskHandle {
    fn drop(&mut self) {
        if let Inner::TaskSet(task) = &self.0 {
            if let Some(task) = task.take() {
                task.detach();
            }
        }
    }
}
