//! Turns among the task sets of pools.

use super::*;
use crate::tasks;
use std::task::Wake;

struct Noted(Mutex<u32>);

impl Wake for Noted {
    fn wake(self: Arc<Self>) {
        *self.0.lock().unwrap() += 1;
    }
}

fn pass(polls: u32) -> impl Future<Output = ()> {
    let mut left = polls;
    std::future::poll_fn(move |cx| {
        left -= 1;
        if left == 0 {
            return Poll::Ready(());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    })
}

#[test]
fn a_set_with_many_tasks_keeps_another_with_one_waiting_for_a_turn_only() {
    let (sets, over) = (Rc::new(TaskSets::default()), Rc::new(Cell::new(false)));
    let (flood, calm) = (sets.add(1, 1), sets.add(2, 1));
    let flooded = Rc::new(Cell::new(0u32));
    for _ in 0..200 {
        let flooded = flooded.clone();
        sets.spawn(&flood, async move {
            for _ in 0..1_000 {
                // A poll that takes a while, as parsing and deciding do.
                let began = Instant::now();
                while began.elapsed() < Duration::from_micros(50) {}
                flooded.set(flooded.get() + 1);
                pass(2).await;
            }
        });
    }
    let (ended, seen, at_end) = (over.clone(), flooded.clone(), Rc::new(Cell::new(0)));
    let noted = at_end.clone();
    let task = sets.spawn(&calm, async move {
        // Ten times it has something to do, and so it is ten turns behind at most.
        pass(10).await;
        noted.set(seen.get());
        ended.set(true);
    });
    let waker = Waker::from(Arc::new(Noted(Mutex::new(0))));
    let mut running = FairExecutor::new(sets, over);
    while Pin::new(&mut running).poll(&mut Context::from_waker(&waker)).is_pending() {}
    drop(task);
    // Nine waits for turns of 200 us, of polls of 50 us, and a generous part for a machine that stalls. In one
    // queue it would have been nine times 200 polls.
    assert!(at_end.get() < 9 * 100, "{} polls of the flood", at_end.get());
}

#[test]
fn a_task_started_by_a_task_is_its_sets_and_an_aborted_one_is_dropped() {
    let (sets, over) = (Rc::new(TaskSets::default()), Rc::new(Cell::new(false)));
    let set = sets.add(7, 1);
    let alive = Rc::new(());
    let (ended, held) = (over.clone(), alive.clone());
    sets.spawn(&set, async move {
        let inner = tasks::spawn(async move {
            std::future::pending::<()>().await;
            drop(held);
        });
        pass(3).await;
        inner.abort();
        pass(3).await;
        ended.set(true);
    });
    let waker = Waker::from(Arc::new(Noted(Mutex::new(0))));
    let mut running = FairExecutor::new(sets, over);
    while Pin::new(&mut running).poll(&mut Context::from_waker(&waker)).is_pending() {}
    assert_eq!(Rc::strong_count(&alive), 1);
}
