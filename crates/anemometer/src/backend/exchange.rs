//! One attempt: a request on one connection to one backend, and what is known of it afterwards.

use super::{answer, Answer};
use crate::state::Proxy;
use bytes::{Bytes, BytesMut};
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};
use violetyoke_ceilometer::backend::Showed;
use violetyoke_station::Verdict;

/// A connection comes up within this, or the backend is taken for dead: in the same region, and from another.
const NEAR: Duration = Duration::from_millis(150);
const FAR: Duration = Duration::from_millis(450);
/// Idle connections that a request which may run only once goes out on are no older: a backend that closes one just
/// then leaves it unknown whether it ran.
const FRESH: Duration = Duration::from_millis(2_500);
const ANY: Duration = Duration::from_secs(3600);
/// Answers to earlier requests that are passed over before the one that is due.
const MOST_EARLIER: usize = 4;

/// What is sent where.
pub struct Try {
    pub id: String,
    pub address: SocketAddrV4,
    pub same_region: bool,
    pub attempt: String,
    /// Head and body, whole.
    pub bytes: Bytes,
    pub head_only: bool,
    pub repeatable: bool,
    pub until: Instant,
}

/// How it ended.
pub struct Ended {
    pub verdict: Verdict,
    pub answer: Option<Answer>,
    pub showed: Showed,
}

impl Ended {
    fn without(verdict: Verdict, showed: Showed) -> Ended {
        Ended { verdict, answer: None, showed }
    }
}

pub async fn attempt(proxy: &Rc<Proxy>, one: &Try) -> Ended {
    let fresh = if one.repeatable { ANY } else { FRESH };
    let idle = proxy.pools.borrow_mut().take(&one.id, fresh);
    let (mut stream, mut buffer) = match idle {
        Some(idle) => (idle.stream, idle.buffer),
        None => match connect(one).await {
            Ok(stream) => (stream, BytesMut::new()),
            Err(_) => return Ended::without(Verdict::NeverRan, Showed::Dead),
        },
    };
    crate::figures::add(&proxy.figures.connections);
    let begun = Instant::now();
    let due = async {
        stream.write_all(&one.bytes).await?;
        for _ in 0..MOST_EARLIER {
            let answer = answer::read(&mut stream, &mut buffer, one.head_only).await?;
            // One that bears another's id is late: it belongs to no request.
            if answer.attempt.as_deref() == Some(&one.attempt) || refuses(&answer) {
                return Ok(answer);
            }
        }
        Err(io::Error::from(io::ErrorKind::InvalidData))
    };
    let answer = match timeout_at(one.until, due).await {
        Err(_) => return Ended::without(Verdict::MayHaveRun, Showed::Silent),
        Ok(Err(_)) => return Ended::without(Verdict::MayHaveRun, Showed::Broke),
        Ok(Ok(answer)) => answer,
    };
    // Bytes past a complete answer are nobody's: the connection goes with them.
    if answer.keep && buffer.is_empty() {
        proxy.pools.borrow_mut().give(&one.id, stream, buffer, answer.keep_for);
    }
    judge(answer, begun.elapsed())
}

/// The backend says that it did not run the request.
fn refuses(answer: &Answer) -> bool {
    answer.not_executed || answer.status == 421
}

/// What an answer says of the request and of the backend.
fn judge(answer: Answer, took: Duration) -> Ended {
    if answer.status == 421 {
        return Ended::without(Verdict::NeverRan, Showed::NotThere);
    }
    if answer.not_executed {
        return Ended::without(Verdict::NeverRan, Showed::TurnedAway);
    }
    let good = (200..300).contains(&answer.status);
    if good && !answer.sealed {
        return Ended::without(Verdict::MayHaveRun, Showed::Broke);
    }
    let showed = Showed::Answer { took: took.as_millis() as u64, load: answer.load };
    Ended { verdict: Verdict::MayHaveRun, answer: Some(answer), showed }
}

async fn connect(one: &Try) -> io::Result<TcpStream> {
    let within = Instant::now() + if one.same_region { NEAR } else { FAR };
    let stream = timeout_at(within.min(one.until), TcpStream::connect(one.address)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}
