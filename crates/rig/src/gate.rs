//! The other end of the program's seam: a worker that has looked at its lease and is about to act tells so here and
//! waits to be let through.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

#[derive(Default)]
struct Inner {
    /// What a point must begin with to be held; none: all are let through.
    armed: Option<String>,
    held: Vec<(String, TcpStream)>,
    passed: usize,
}

/// One process's gate.
#[derive(Clone)]
pub struct Gate {
    pub address: SocketAddr,
    inner: Arc<(Mutex<Inner>, Condvar)>,
}

impl Gate {
    pub fn start() -> io::Result<Gate> {
        let listener = TcpListener::bind(violetyoke_standin::any())?;
        let address = listener.local_addr()?;
        let inner: Arc<(Mutex<Inner>, Condvar)> = Arc::default();
        let gate = Gate { address, inner };
        let own = gate.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let gate = own.clone();
                thread::spawn(move || gate.comes(stream));
            }
        });
        Ok(gate)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn comes(&self, mut stream: TcpStream) -> Option<()> {
        let mut point = String::new();
        BufReader::new(stream.try_clone().ok()?).read_line(&mut point).ok()?;
        let mut inner = self.lock();
        if inner.armed.as_ref().is_some_and(|armed| point.starts_with(armed.as_str())) {
            inner.held.push((point.trim().to_string(), stream));
            self.inner.1.notify_all();
            return Some(());
        }
        inner.passed += 1;
        drop(inner);
        stream.write_all(b"!").ok()
    }

    /// From now on workers wait at points that begin like that.
    pub fn arm(&self, point: &str) {
        self.lock().armed = Some(point.to_string());
    }

    /// The first point that is held.
    pub fn held(&self, within: Duration) -> Option<String> {
        let inner = self.lock();
        let waited = self.inner.1.wait_timeout_while(inner, within, |inner| inner.held.is_empty());
        let (inner, _) = waited.unwrap_or_else(PoisonError::into_inner);
        inner.held.first().map(|(point, _)| point.clone())
    }

    /// Lets all through that wait, and all that come.
    pub fn open(&self) {
        let mut inner = self.lock();
        inner.armed = None;
        for (_, mut stream) in inner.held.drain(..) {
            let _ = stream.write_all(b"!");
        }
    }
}
