//! Backends: each works on `slots` requests at once, queues a few further ones, and notes each request that it gets.

use crate::http::{read, Message};
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

const QUEUE: usize = 24;
/// How long a backend keeps an idle connection, as it says in its answers.
const KEEP_ALIVE_S: u64 = 10;
/// The same in a spoiled answer: the largest signed number of 64 bits.
const SPOILED_KEEP_ALIVE_S: u64 = i64::MAX as u64;

#[derive(Default)]
struct State {
    running: usize,
    waiting: usize,
    /// The ids of the tries that arrived.
    attempts: Vec<String>,
    answered: usize,
    /// Of how many answers one is spoiled; 0: none.
    spoils_one_in: usize,
    spoiled: usize,
}

#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    slots: usize,
    work: Duration,
    record: Record,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Backend {
    pub fn start(
        record: &Record,
        id: &str,
        service: &'static str,
        zone: &'static str,
        slots: usize,
        work: Duration,
    ) -> Result<Backend, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let backend = Backend {
            id: id.into(),
            service,
            zone,
            address: listener.local_addr().map_err(|error| error.to_string())?,
            slots,
            work,
            record: record.clone(),
            state: Arc::default(),
        };
        let server = backend.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = server.clone();
                std::thread::spawn(move || backend.serve(stream));
            }
        });
        Ok(backend)
    }

    /// From now on, one of so many answers has a number in `Keep-Alive` that no connection lasts for.
    pub fn spoil_one_in(&self, answers: usize) {
        self.state.0.lock().unwrap().spoils_one_in = answers;
    }

    /// The number of answers that were spoiled.
    pub fn spoiled(&self) -> usize {
        self.state.0.lock().unwrap().spoiled
    }

    /// The ids of all tries that arrived.
    pub fn attempts(&self) -> Vec<String> {
        self.state.0.lock().unwrap().attempts.clone()
    }

    /// The entry of the platform's list.
    pub fn entry(&self, cold_left: Duration) -> String {
        format!(
            r#""{}":{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"ready","cold-left-ms":{}}}"#,
            self.id,
            self.service,
            self.address,
            self.zone,
            self.slots,
            cold_left.as_millis()
        )
    }

    fn serve(&self, stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read(&mut reader) {
            if writer.write_all(self.answer(&request).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> String {
        let attempt = request.field("x-attempt-id").unwrap_or_default().to_owned();
        if request.field("x-target-instance").is_some_and(|id| id != self.id) {
            return self.response("421 Misdirected Request", &attempt, "x-not-executed: 1\r\n");
        }
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        if state.running >= self.slots && state.waiting >= QUEUE {
            drop(state);
            return self.response("503 Service Unavailable", &attempt, "x-not-executed: 1\r\n");
        }
        self.record.note(&format!("{} gets {attempt}", self.id));
        state.attempts.push(attempt.clone());
        state.waiting += 1;
        while state.running >= self.slots {
            state = changed.wait(state).unwrap();
        }
        state.waiting -= 1;
        state.running += 1;
        drop(state);
        std::thread::sleep(self.work);
        let mut state = lock.lock().unwrap();
        state.running -= 1;
        changed.notify_one();
        state.answered += 1;
        let is_spoiled = state.spoils_one_in > 0 && state.answered % state.spoils_one_in == 0;
        state.spoiled += usize::from(is_spoiled);
        drop(state);
        let seconds = if is_spoiled { SPOILED_KEEP_ALIVE_S } else { KEEP_ALIVE_S };
        if is_spoiled {
            self.record.say(&format!("{} answers {attempt} with keep-alive: timeout={seconds}", self.id));
        }
        let fields = format!("x-server-seal: seal\r\nkeep-alive: timeout={seconds}\r\n");
        self.response("200 OK", &attempt, &fields)
    }

    fn response(&self, status: &str, attempt: &str, fields: &str) -> String {
        let (running, waiting) = {
            let state = self.state.0.lock().unwrap();
            (state.running, state.waiting)
        };
        let body = format!("{} ran {attempt}", self.id);
        format!(
            "HTTP/1.1 {status}\r\nx-attempt-id: {attempt}\r\nx-instance-id: {}\r\n{fields}x-server-load: {running},{waiting},{}\r\ncontent-length: {}\r\n\r\n{body}",
            self.id,
            self.slots,
            body.len()
        )
    }
}
