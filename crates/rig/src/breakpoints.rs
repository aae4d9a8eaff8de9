//! Breakpoints of an ingress. Its build for proofs connects here (`VIOLETYOKE_GATE`) each time a worker has checked its
//! lease and is about to act, names the point, and waits for a byte before it goes on.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Lets a worker go on.
const RESUME: &[u8] = b"!";

#[derive(Default)]
struct State {
    /// Workers wait at points that begin like this; none: nobody waits.
    armed_prefix: Option<String>,
    waiting: Vec<WaitingWorker>,
}

struct WaitingWorker {
    point: String,
    stream: TcpStream,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    hit: Condvar,
}

/// The breakpoints of one process. Its listener lives until the test's process ends.
#[derive(Clone)]
pub struct Breakpoints {
    /// Where the process connects to.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Breakpoints {
    /// Listens on a free address; nobody waits before [`Breakpoints::arm`].
    ///
    /// # Errors
    /// Those of the listener.
    pub fn start() -> io::Result<Breakpoints> {
        let listener = TcpListener::bind(violetyoke_standin::any_port())?;
        let address = listener.local_addr()?;
        let shared: Arc<Shared> = Arc::default();
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&accepting);
                // A worker whose connection fails has ended: there is nobody to let go on.
                thread::spawn(move || shared.worker_arrives(stream).unwrap_or_default());
            }
        });
        Ok(Breakpoints { address, shared })
    }

    /// From now on workers wait at points that begin like this.
    pub fn arm(&self, prefix: &str) {
        self.shared.lock().armed_prefix = Some(prefix.to_string());
    }

    /// Waits for a worker at an armed point, and returns that point; none after the timeout.
    pub fn wait_for_hit(&self, timeout: Duration) -> Option<String> {
        let state = self.shared.lock();
        let waited = self.shared.hit.wait_timeout_while(state, timeout, |state| state.waiting.is_empty());
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.waiting.first().map(|worker| worker.point.clone())
    }

    /// Lets all waiting workers go on, and stops none after that.
    pub fn release(&self) {
        let mut state = self.shared.lock();
        state.armed_prefix = None;
        for mut worker in state.waiting.drain(..) {
            // A worker that has been killed meanwhile is not there to read it.
            worker.stream.write_all(RESUME).unwrap_or_default();
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn worker_arrives(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut point = String::new();
        BufReader::new(stream.try_clone()?).read_line(&mut point)?;
        let mut state = self.lock();
        if state.armed_prefix.as_ref().is_some_and(|prefix| point.starts_with(prefix.as_str())) {
            state.waiting.push(WaitingWorker { point: point.trim().to_string(), stream });
            self.hit.notify_all();
            return Ok(());
        }
        drop(state);
        stream.write_all(RESUME)
    }
}
