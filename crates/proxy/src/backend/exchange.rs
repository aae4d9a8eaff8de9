//! One attempt: a request on one connection to one backend, and what is known of it afterwards.

use super::{answer, Answer, Flow};
use crate::body::{Body, Stopped};
use crate::state::Proxy;
use bytes::{Bytes, BytesMut};
use std::future::Future;
use std::io;
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{split, AsyncRead, AsyncWriteExt};
use tokio::time::{timeout_at, Instant};
use violetyoke_api::Execution;
use violetyoke_balancing::Observation;
use violetyoke_transport::net::{self, Stream};

/// A connection comes up within this, or the backend is taken for dead: in the same region, and from another.
const NEAR: Duration = Duration::from_millis(150);
const FAR: Duration = Duration::from_millis(450);
/// Past its patience, an attempt that could not be made elsewhere looks so often whether it can by now.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// Answers to earlier requests that are passed over before the one that is due.
const MOST_EARLIER: usize = 4;

/// What is sent where.
pub struct Try {
    pub id: String,
    pub service: String,
    pub address: SocketAddrV4,
    pub same_region: bool,
    pub attempt: String,
    /// Head, and body as far as it is held.
    pub bytes: Bytes,
    /// What is sent after that.
    pub body: Rc<Body>,
    pub head_only: bool,
    /// It may run again, and can be sent again.
    pub repeatable: bool,
    /// From when on another backend may be asked instead, where one can be; and when nobody waits any more.
    pub patience: Option<Instant>,
    pub until: Instant,
}

/// How it ended.
pub struct Ended {
    pub verdict: Execution,
    pub answer: Option<Answer>,
    /// The connection on which the rest of the answer is due.
    pub flow: Option<Box<Flow>>,
    pub observed: Observation,
}

impl Ended {
    fn without(verdict: Execution, observed: Observation) -> Ended {
        Ended { verdict, answer: None, flow: None, observed }
    }
}

/// What went wrong on a connection: whether anything had come back before it did, and whether it was the client's doing.
struct Broken {
    answered: bool,
    client: bool,
}

impl Broken {
    fn backend(answered: bool) -> Broken {
        Broken { answered, client: false }
    }
}

/// One attempt. Past its patience it is broken off only where `elsewhere` says that another can be made.
pub async fn attempt(proxy: &Rc<Proxy>, one: &Try, elsewhere: &dyn Fn() -> bool) -> Ended {
    let idle = proxy.pools.borrow_mut().take(&one.id, one.repeatable);
    let reused = idle.is_some();
    let (mut stream, mut buffer) = match idle {
        Some(idle) => (idle.stream, idle.buffer),
        None => match connect(proxy, one).await {
            Ok(stream) => (stream, BytesMut::new()),
            Err(_) => return Ended::without(Execution::NotExecuted, Observation::Unreachable),
        },
    };
    let begun = Instant::now();
    let mut due = wait(exchange(&mut stream, &mut buffer, one, reused), one, elsewhere).await;
    if reused && matches!(due, Some(Err(Broken { answered: false, .. }))) {
        proxy.pools.borrow_mut().forgotten();
        // The backend had forgotten the connection: where the request may run again, it goes out on a new one.
        let again = || proxy.retry_budgets.try_acquire(&one.service);
        if one.repeatable && again() {
            buffer.clear();
            stream = match connect(proxy, one).await {
                Ok(stream) => stream,
                Err(_) => return Ended::without(Execution::Unknown, Observation::Unreachable),
            };
            due = wait(exchange(&mut stream, &mut buffer, one, false), one, elsewhere).await;
        }
    }
    let answer = match due {
        None => return Ended::without(Execution::Unknown, Observation::TimedOut),
        Some(Err(broken)) if broken.client || (reused && !one.repeatable) => {
            return Ended::without(Execution::Unknown, Observation::Inconclusive)
        }
        Some(Err(_)) => return Ended::without(Execution::Unknown, Observation::Broken),
        Some(Ok(answer)) => answer,
    };
    let took = begun.elapsed();
    if let Some(reader) = answer.rest {
        let (keep, keep_for) = (answer.keep && !refuses(&answer), answer.keep_for);
        let (id, service, until) = (one.id.clone(), one.service.clone(), one.until);
        let mut ended = judge(answer, took);
        let flow = Flow { reader, stream, buffer, keep, keep_for, until, id, service };
        ended.flow = ended.answer.is_some().then(|| Box::new(flow));
        return ended;
    }
    // Bytes past a complete answer are nobody's: the connection goes with them.
    // So it does after a refusal: those may bear no id, and a second one would be taken for the next request's.
    if answer.keep && buffer.is_empty() && !refuses(&answer) {
        let most = proxy.backends.max_connections(&one.service);
        proxy.pools.borrow_mut().give(&one.id, stream, buffer, answer.keep_for, most);
    }
    judge(answer, took)
}

/// Waits for an answer until nobody waits any more, or until patience is over and another backend can be asked.
async fn wait<T>(exchange: impl Future<Output = T>, one: &Try, elsewhere: &dyn Fn() -> bool) -> Option<T> {
    let mut exchange = pin!(exchange);
    let mut patience = one.patience;
    while let Some(at) = patience.filter(|at| *at < one.until) {
        match timeout_at(at, exchange.as_mut()).await {
            Ok(ended) => return Some(ended),
            Err(_) if elsewhere() => return None,
            Err(_) => patience = Some(at + LOOK_AGAIN),
        }
    }
    timeout_at(one.until, exchange).await.ok()
}

/// Sends the request and reads the answer to it, which may come before all is sent.
async fn exchange(
    stream: &mut Stream,
    buffer: &mut BytesMut,
    one: &Try,
    reused: bool,
) -> Result<Answer, Broken> {
    let (mut reader, mut writer) = split(stream);
    let mut sending = pin!(async {
        writer.write_all(&one.bytes).await.map_err(|_| Stopped::Backend)?;
        one.body.send_rest(&mut writer).await
    });
    let mut reading = pin!(due(&mut reader, buffer, one, reused));
    tokio::select! {
        biased;
        sent = sending.as_mut() => match sent {
            Ok(()) => reading.await,
            Err(Stopped::Client) => Err(Broken { answered: false, client: true }),
            // It may have said why before it closed, where it had got a part.
            Err(Stopped::Backend) if one.body.spent() => reading.await.map(last),
            Err(Stopped::Backend) => Err(Broken::backend(false)),
        },
        read = reading.as_mut() => read.map(last),
    }
}

/// The last answer on its connection: not all of the request has gone out on it.
fn last(answer: Answer) -> Answer {
    Answer { keep: false, ..answer }
}

/// Reads the answer that is due. One that bears no id is believed only where it refuses, and only as the first on its
/// connection: on one that was used before it may be a second answer to an earlier request, while this one runs.
async fn due(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    one: &Try,
    reused: bool,
) -> Result<Answer, Broken> {
    for earlier in 0..MOST_EARLIER {
        let answer = answer::read(stream, buffer, one.head_only).await;
        let answer = answer.map_err(|_| Broken::backend(earlier > 0 || !buffer.is_empty()))?;
        match answer.attempt.as_deref() {
            Some(id) if id == one.attempt => return Ok(answer),
            None if refuses(&answer) && !reused && earlier == 0 => return Ok(answer),
            // One that bears another's id is late: it belongs to no request, also where it says that one did not run.
            _ if answer.rest.is_some() => break,
            _ => {}
        }
    }
    Err(Broken::backend(true))
}

/// The backend says that it did not run the request.
fn refuses(answer: &Answer) -> bool {
    answer.not_executed || answer.status == 421
}

/// What an answer says of the request and of the backend.
fn judge(answer: Answer, took: Duration) -> Ended {
    if answer.status == 421 {
        return Ended::without(Execution::NotExecuted, Observation::WrongInstance);
    }
    if answer.not_executed {
        return Ended::without(Execution::NotExecuted, Observation::Rejected);
    }
    // These would promise a client that nothing ran, which the backend has not said.
    if matches!(answer.status, 408 | 429 | 503) {
        return Ended::without(Execution::Unknown, Observation::Broken);
    }
    let good = (200..300).contains(&answer.status);
    if good && !answer.sealed {
        return Ended::without(Execution::Unknown, Observation::Broken);
    }
    let observed = Observation::Response { latency_ms: took.as_millis() as u64, load: answer.load };
    Ended { verdict: Execution::Unknown, answer: Some(answer), flow: None, observed }
}

async fn connect(proxy: &Rc<Proxy>, one: &Try) -> io::Result<Stream> {
    proxy.metrics.backend_connections.increment();
    let within = Instant::now() + if one.same_region { NEAR } else { FAR };
    timeout_at(within.min(one.until), net::connect(one.address.into())).await?
}
