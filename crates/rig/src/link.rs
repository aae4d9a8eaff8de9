//! A TCP relay from one process to another that holds, delays or resets what passes, each direction for itself.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};

/// How long after the last bytes of a connection its end is passed on: a receiver that gets both at once may leave the bytes
/// unprocessed.
const CLOSE_DELAY: Duration = Duration::from_millis(300);
const BUFFER_BYTES: usize = 16 * 1024;

/// A direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From the process that connects.
    ToServer,
    /// Back to the process that connects.
    ToClient,
}

/// What happens to the bytes of one direction; the default passes them on at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Impairment {
    /// Bytes wait in the link. They are passed on when this ends, also if their sender has ended meanwhile.
    pub is_held: bool,
    /// How long after their arrival bytes are passed on.
    pub delay: Duration,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Conditions {
    to_server: Impairment,
    to_client: Impairment,
    /// Open connections are reset, and new ones too.
    is_cut: bool,
}

impl Conditions {
    fn impairment(&self, direction: Direction) -> Impairment {
        match direction {
            Direction::ToServer => self.to_server,
            Direction::ToClient => self.to_client,
        }
    }
}

struct Shared {
    server: SocketAddr,
    conditions: watch::Sender<Conditions>,
    /// Chunks that wait in the link now, by direction.
    held_chunks: [AtomicUsize; 2],
}

/// Listens at `address` for one process, and relays each connection to another. Its tasks live as long as the runtime
/// that it was started on.
#[derive(Clone)]
pub struct Link {
    /// Where the client connects to.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Link {
    /// Listens on a free address and relays to `server`, without impairment at first.
    ///
    /// # Errors
    /// Those of the listener.
    pub fn start(runtime: &Handle, server: SocketAddr) -> io::Result<Link> {
        let _entered = runtime.enter();
        let listener = std::net::TcpListener::bind(violetyoke_standin::any_port())?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let (conditions, _) = watch::channel(Conditions::default());
        let shared = Arc::new(Shared { server, conditions, held_chunks: Default::default() });
        let relay = Arc::clone(&shared);
        runtime.spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(relay_connection(client, Arc::clone(&relay)));
            }
        });
        Ok(Link { address, shared })
    }

    /// Impairs a direction, for open connections and new ones.
    pub fn impair(&self, direction: Direction, impairment: Impairment) {
        self.shared.conditions.send_modify(|now| match direction {
            Direction::ToServer => now.to_server = impairment,
            Direction::ToClient => now.to_client = impairment,
        });
    }

    /// Bytes of this direction wait in the link until [`Link::heal`].
    pub fn hold(&self, direction: Direction) {
        self.impair(direction, Impairment { is_held: true, ..Impairment::default() });
    }

    /// Resets open connections and all new ones.
    pub fn cut(&self) {
        self.shared.conditions.send_modify(|now| now.is_cut = true);
    }

    /// Connections are relayed again after [`Link::cut`]; impairments stay.
    pub fn reconnect(&self) {
        self.shared.conditions.send_modify(|now| now.is_cut = false);
    }

    /// Ends the cut and all impairments; what was held is passed on.
    pub fn heal(&self) {
        self.shared.conditions.send_replace(Conditions::default());
    }

    /// How many chunks wait in the link.
    pub fn held_chunks(&self, direction: Direction) -> usize {
        self.shared.held_chunks[direction as usize].load(Ordering::SeqCst)
    }
}

/// The peer sees a reset when the stream is dropped before its shutdown. A failure means that the socket is closed already.
fn reset_on_drop(stream: &TcpStream) {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap_or_default();
}

async fn relay_connection(client: TcpStream, shared: Arc<Shared>) {
    reset_on_drop(&client);
    if shared.conditions.borrow().is_cut {
        return;
    }
    let Ok(server) = TcpStream::connect(shared.server).await else { return };
    reset_on_drop(&server);
    for stream in [&client, &server] {
        // Without it bytes pass on later, and unchanged.
        stream.set_nodelay(true).unwrap_or_default();
    }
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    tokio::spawn(relay(client_reader, server_writer, Direction::ToServer, Arc::clone(&shared)));
    tokio::spawn(relay(server_reader, client_writer, Direction::ToClient, shared));
}

/// Relays one direction of a connection until its end or a cut.
async fn relay(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    direction: Direction,
    shared: Arc<Shared>,
) {
    let mut conditions = shared.conditions.subscribe();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = tokio::select! {
            read = reader.read(&mut buffer) => read,
            _ = conditions.wait_for(|now| now.is_cut) => return,
        };
        let length = match read {
            Ok(length) if length > 0 => length,
            _ => break,
        };
        let arrived = Instant::now();
        let held_chunks = &shared.held_chunks[direction as usize];
        held_chunks.fetch_add(1, Ordering::SeqCst);
        let now =
            conditions.wait_for(|now| now.is_cut || !now.impairment(direction).is_held).await.map(|now| *now);
        held_chunks.fetch_sub(1, Ordering::SeqCst);
        let Ok(now) = now else { return };
        if now.is_cut {
            return;
        }
        sleep_until(arrived + now.impairment(direction).delay).await;
        if writer.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    sleep(CLOSE_DELAY).await;
    // A peer that has closed already needs no end.
    writer.shutdown().await.unwrap_or_default();
}
