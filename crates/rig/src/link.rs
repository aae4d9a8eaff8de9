//! A TCP link from one process to another, each direction with its own faults.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// How long after the last bytes of a connection its end comes.
const LAST: Duration = Duration::from_millis(300);

/// Towards the one that is called, or back to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    Up,
    Down,
}

/// What happens to bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Way {
    /// They wait in the link. They go on when this ends, also if their sender has gone meanwhile.
    pub held: bool,
    pub delay: Duration,
    /// Bytes a second; 0: as fast as they come.
    pub rate: u32,
    /// After so many bytes of a connection both ends see a reset.
    pub reset_after: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Conditions {
    up: Way,
    down: Way,
    /// Open connections are reset, and new ones too.
    cut: bool,
}

impl Conditions {
    fn way(&self, direction: Direction) -> Way {
        match direction {
            Direction::Up => self.up,
            Direction::Down => self.down,
        }
    }
}

struct Shared {
    to: Mutex<SocketAddr>,
    conditions: watch::Sender<Conditions>,
    /// Pieces that wait in the link now, up and down.
    held: [AtomicUsize; 2],
}

/// Listens at `address` for one process, and passes on to another.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Link {
    pub fn start(runtime: &Handle, to: SocketAddr) -> io::Result<Link> {
        let _entered = runtime.enter();
        let listener = std::net::TcpListener::bind(violetyoke_standin::any())?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let (conditions, _) = watch::channel(Conditions::default());
        let shared = Arc::new(Shared { to: Mutex::new(to), conditions, held: Default::default() });
        let passing = shared.clone();
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(connection(stream, passing.clone()));
            }
        });
        Ok(Link { address, shared })
    }

    /// Where new connections go from now on.
    pub fn lead_to(&self, to: SocketAddr) {
        *self.shared.to.lock().unwrap_or_else(PoisonError::into_inner) = to;
    }

    pub fn set(&self, direction: Direction, way: Way) {
        self.shared.conditions.send_modify(|now| match direction {
            Direction::Up => now.up = way,
            Direction::Down => now.down = way,
        });
    }

    pub fn hold(&self, direction: Direction) {
        self.set(direction, Way { held: true, ..Way::default() });
    }

    pub fn cut(&self, cut: bool) {
        self.shared.conditions.send_modify(|now| now.cut = cut);
    }

    /// All faults end; what was held goes on.
    pub fn heal(&self) {
        self.shared.conditions.send_replace(Conditions::default());
    }

    /// Pieces that wait in the link.
    pub fn waiting(&self, direction: Direction) -> usize {
        self.shared.held[direction as usize].load(Ordering::SeqCst)
    }
}

fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn connection(near: TcpStream, shared: Arc<Shared>) {
    let mut conditions = shared.conditions.subscribe();
    let to = *shared.to.lock().unwrap_or_else(PoisonError::into_inner);
    if conditions.borrow_and_update().cut {
        return reset(&near);
    }
    let Ok(far) = TcpStream::connect(to).await else { return reset(&near) };
    let (_, _) = (near.set_nodelay(true), far.set_nodelay(true));
    // Whoever drops a half in the middle of a cut has the peer see a reset.
    reset(&near);
    reset(&far);
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    tokio::spawn(pump(near_in, far_out, Direction::Up, shared.clone()));
    tokio::spawn(pump(far_in, near_out, Direction::Down, shared));
}

/// Passes one direction on until its end.
async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, direction: Direction, shared: Arc<Shared>) {
    let mut conditions = shared.conditions.subscribe();
    let mut buffer = vec![0; 16 * 1024];
    let mut passed = 0;
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = conditions.wait_for(|now| now.cut) => return,
        };
        let length = match read {
            Ok(length) if length > 0 => length,
            _ => break,
        };
        let came = Instant::now();
        let waiting = &shared.held[direction as usize];
        waiting.fetch_add(1, Ordering::SeqCst);
        let flows = conditions.wait_for(|now| now.cut || !now.way(direction).held).await.map(|now| *now);
        waiting.fetch_sub(1, Ordering::SeqCst);
        let Ok(now) = flows else { return };
        if now.cut {
            return;
        }
        let way = now.way(direction);
        sleep_until(came + way.delay).await;
        if way.rate > 0 {
            tokio::time::sleep(Duration::from_secs_f64(length as f64 / f64::from(way.rate))).await;
        }
        passed += length as u64;
        let part = match way.reset_after {
            Some(most) if passed > most => length - (passed - most).min(length as u64) as usize,
            _ => length,
        };
        if to.write_all(&buffer[..part]).await.is_err() || part < length {
            return;
        }
    }
    // The sender's end comes a moment after its last bytes: whoever gets both at once may leave the bytes undone.
    tokio::time::sleep(LAST).await;
    let _ = to.shutdown().await;
}
