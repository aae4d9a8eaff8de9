//! One process: started, stopped, continued, killed, started again.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{self, BufRead, BufReader, Read};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

type Lines = Arc<Mutex<Vec<String>>>;

/// Killed when dropped, whether or not it was stopped.
pub struct Process {
    command: Command,
    child: Option<Child>,
    lines: Lines,
}

fn read(from: impl Read + Send + 'static, lines: Lines) {
    thread::spawn(move || {
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
        }
    });
}

impl Process {
    /// Starts it. What it writes is kept, to be waited for and looked at.
    pub fn start(mut command: Command) -> io::Result<Process> {
        // It may end when its input does, as stand-ins do: this process holds it open.
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut process = Process { command, child: None, lines: Lines::default() };
        process.again()?;
        Ok(process)
    }

    /// Starts it again after its end, as it was started before.
    pub fn again(&mut self) -> io::Result<()> {
        self.kill()?;
        let mut child = self.command.spawn()?;
        if let Some(output) = child.stdout.take() {
            read(output, self.lines.clone());
        }
        if let Some(errors) = child.stderr.take() {
            read(errors, self.lines.clone());
        }
        self.child = Some(child);
        Ok(())
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = self.id().and_then(|id| Pid::from_raw(id as i32));
        let id = id.ok_or_else(|| io::Error::other("the process has ended"))?;
        Ok(kill_process(id, signal)?)
    }

    /// Stops it where it is, and returns once it stands still.
    pub fn stop(&self) -> io::Result<()> {
        self.signal(Signal::STOP)?;
        let stat = format!("/proc/{}/stat", self.id().unwrap_or_default());
        let still = || {
            let text = std::fs::read_to_string(&stat).unwrap_or_default();
            text.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('T'))
        };
        match crate::until(Duration::from_secs(5), still) {
            true => Ok(()),
            false => Err(io::Error::other("the process does not stand still")),
        }
    }

    pub fn go_on(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|ended| ended.is_some()))
    }

    /// What it has written so far, in all its lives.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The newest line with that in it, once there are more than `after` such.
    pub fn wait_for(&self, what: &str, after: usize, within: Duration) -> Option<String> {
        let mut found = None;
        crate::until(within, || {
            let lines = self.lines();
            let fit: Vec<&String> = lines.iter().filter(|line| line.contains(what)).collect();
            found = fit.last().filter(|_| fit.len() > after).map(|line| line.to_string());
            found.is_some()
        });
        found
    }

    pub fn count(&self, what: &str) -> usize {
        self.lines().iter().filter(|line| line.contains(what)).count()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}
