//! Fair sharing of the processor among task sets.

use super::*;
use crate::tasks;
use std::task::Wake;

/// A waker that counts its wake-ups.
struct CountingWaker(Mutex<u32>);

impl Wake for CountingWaker {
    fn wake(self: Arc<Self>) {
        *self.0.lock().unwrap() += 1;
    }
}

/// A future that is ready after this many polls.
fn yield_for(polls: u32) -> impl Future<Output = ()> {
    let mut remaining = polls;
    std::future::poll_fn(move |cx| {
        remaining -= 1;
        if remaining == 0 {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
}

#[test]
fn a_set_with_many_busy_tasks_delays_another_set_by_one_turn_only() {
    let (sets, is_done) = (Rc::new(TaskSets::default()), Rc::new(Cell::new(false)));
    let (busy_set, idle_set) = (sets.add(1, 1), sets.add(2, 1));
    let busy_polls = Rc::new(Cell::new(0u32));
    for _ in 0..200 {
        let busy_polls = busy_polls.clone();
        sets.spawn(&busy_set, async move {
            for _ in 0..1_000 {
                // A poll that takes some time, as parsing and decisions do.
                let started_at = Instant::now();
                while started_at.elapsed() < Duration::from_micros(50) {}
                busy_polls.set(busy_polls.get() + 1);
                yield_for(2).await;
            }
        });
    }
    let (done, observed_polls, polls_at_end) = (is_done.clone(), busy_polls.clone(), Rc::new(Cell::new(0)));
    let recorded_polls = polls_at_end.clone();
    let task = sets.spawn(&idle_set, async move {
        // Ten polls, each of which waits for at most one turn of the busy set.
        yield_for(10).await;
        recorded_polls.set(observed_polls.get());
        done.set(true);
    });
    let waker = Waker::from(Arc::new(CountingWaker(Mutex::new(0))));
    let mut executor = FairExecutor::new(sets, is_done);
    while Pin::new(&mut executor).poll(&mut Context::from_waker(&waker)).is_pending() {}
    drop(task);
    // Nine waits for a turn of 200 us, which is four polls of 50 us, with a wide margin for stalls of the machine. With one
    // queue for all tasks, it would be nine times 200 polls.
    assert!(polls_at_end.get() < 9 * 100, "{} polls of the busy set", polls_at_end.get());
}

#[test]
fn a_task_spawned_by_a_task_belongs_to_its_set_and_an_aborted_one_is_dropped() {
    let (sets, is_done) = (Rc::new(TaskSets::default()), Rc::new(Cell::new(false)));
    let set = sets.add(7, 1);
    let token = Rc::new(());
    let (done, held_token) = (is_done.clone(), token.clone());
    sets.spawn(&set, async move {
        let inner = tasks::spawn(async move {
            std::future::pending::<()>().await;
            drop(held_token);
        });
        yield_for(3).await;
        inner.abort();
        yield_for(3).await;
        done.set(true);
    });
    let waker = Waker::from(Arc::new(CountingWaker(Mutex::new(0))));
    let mut executor = FairExecutor::new(sets, is_done);
    while Pin::new(&mut executor).poll(&mut Context::from_waker(&waker)).is_pending() {}
    assert_eq!(Rc::strong_count(&token), 1);
}
