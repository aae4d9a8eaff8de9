//! A process of an emulated machine: a future with its own tasks that can be killed, frozen and resumed from outside.

use crate::net::{as_machine, Net};
use futures_util::FutureExt;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::Ipv4Addr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::task::LocalSet;
use violetyoke_transport::panic_count::observe;

type Body = Pin<Box<dyn Future<Output = ()>>>;

#[derive(Default)]
struct Slot {
    body: RefCell<Option<Body>>,
    is_frozen: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Slot {
    fn wake(&self) {
        if let Some(waker) = self.waker.borrow().as_ref() {
            waker.wake_by_ref();
        }
    }
}

/// A handle to a process.
#[derive(Clone)]
pub(crate) struct Process {
    ip: Ipv4Addr,
    slot: Rc<Slot>,
    /// The machines of processes in which a task has panicked, which ends the process.
    panicked: Rc<RefCell<Vec<Ipv4Addr>>>,
}

struct Runner(Process);

impl Future for Runner {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let process = &self.0;
        *process.slot.waker.borrow_mut() = Some(context.waker().clone());
        if process.slot.is_frozen.get() {
            return Poll::Pending;
        }
        // The body is taken out of its slot while it runs, so that it can query its own process.
        let Some(mut body) = process.slot.body.take() else { return Poll::Ready(()) };
        let poll = as_machine(process.ip, || observe(|| body.as_mut().poll(context)));
        if let Ok(Poll::Pending) = poll {
            *process.slot.body.borrow_mut() = Some(body);
            return Poll::Pending;
        }
        if poll.is_err() {
            process.panicked.borrow_mut().push(process.ip);
        }
        as_machine(process.ip, || drop(body));
        Poll::Ready(())
    }
}

impl Process {
    /// Starts a process on a machine, independent of the caller. `body` may spawn local tasks, which end with the
    /// process.
    pub(crate) fn start(net: &Net, ip: Ipv4Addr, body: impl Future<Output = ()> + 'static) -> Process {
        let body = async move { LocalSet::new().run_until(body).await };
        let slot = Slot { body: RefCell::new(Some(Box::pin(body))), ..Slot::default() };
        let process = Process { ip, slot: Rc::new(slot), panicked: net.panicked() };
        net.spawn(Runner(process.clone()).boxed_local());
        process
    }

    pub(crate) fn is_running(&self) -> bool {
        self.slot.body.borrow().is_some()
    }

    /// Ends the process at once, with all its tasks.
    pub(crate) fn kill(&self) {
        let body = self.slot.body.take();
        as_machine(self.ip, || drop(body));
        self.slot.wake();
    }

    /// Suspends the process like SIGSTOP, or resumes it.
    pub(crate) fn set_frozen(&self, is_frozen: bool) {
        self.slot.is_frozen.set(is_frozen);
        self.slot.wake();
    }
}
