//! A child process whose output is recorded, and which can be paused, resumed, killed and restarted.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{self, BufRead, BufReader, Read};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Time limit for a process to stop after SIGSTOP.
const PAUSE_TIMEOUT: Duration = Duration::from_secs(5);

type Lines = Arc<Mutex<Vec<String>>>;

/// A child process. It is killed when dropped, even while it is paused.
pub struct Process {
    command: Command,
    child: Option<Child>,
    lines: Lines,
}

/// Appends the lines of an output to `lines`, on a thread that ends with the output.
fn collect_lines(output: impl Read + Send + 'static, lines: Lines) {
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
        }
    });
}

impl Process {
    /// Starts the process. Its standard output and standard error are recorded as lines.
    ///
    /// # Errors
    /// Those of spawning the command.
    pub fn start(mut command: Command) -> io::Result<Process> {
        // Stubs end when their standard input does, so the pipe is kept open while the child runs.
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut process = Process { command, child: None, lines: Lines::default() };
        process.restart()?;
        Ok(process)
    }

    /// Kills the process if it runs, and starts the same command again.
    ///
    /// # Errors
    /// Those of killing and of spawning.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill()?;
        let mut child = self.command.spawn()?;
        if let Some(output) = child.stdout.take() {
            collect_lines(output, self.lines.clone());
        }
        if let Some(errors) = child.stderr.take() {
            collect_lines(errors, self.lines.clone());
        }
        self.child = Some(child);
        Ok(())
    }

    /// The process id; `None` after [`Process::kill`].
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn pid(&self) -> io::Result<Pid> {
        let pid = self.id().and_then(|id| Pid::from_raw(id as i32));
        pid.ok_or_else(|| io::Error::other("the process has ended"))
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(self.pid()?, signal)?)
    }

    /// Sends SIGSTOP, and returns once the process has stopped.
    ///
    /// If the process has ended, or does not stop within 5 s.
    pub fn pause(&self) -> io::Result<()> {
        let stat = format!("/proc/{}/stat", self.pid()?.as_raw_nonzero());
        self.signal(Signal::STOP)?;
        let is_paused = || {
            // The state follows the program's name, which is in parentheses and may contain any character.
            std::fs::read_to_string(&stat)
                .is_ok_and(|text| text.rsplit_once(") ").is_some_and(|(_, state)| state.starts_with('T')))
        };
        if crate::wait_until(PAUSE_TIMEOUT, is_paused) {
            return Ok(());
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, "the process has not stopped after SIGSTOP"))
    }

    /// Sends SIGCONT.
    ///
    /// # Errors
    /// When it has ended.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Sends SIGTERM without waiting for the process to end.
    ///
    /// # Errors
    /// When it has ended.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Kills the process and waits for its end. Does nothing if it was killed before.
    ///
    /// # Errors
    /// Those of the signal and of the wait.
    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Whether the process has ended, by itself or by a signal.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// All lines of output so far, including those from before restarts.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Waits until more than `seen_before` lines contain the pattern. Returns the newest of them, or `None` after the
    /// time-out.
    pub fn wait_for_line(&self, pattern: &str, seen_before: usize, timeout: Duration) -> Option<String> {
        let mut newest = None;
        crate::wait_until(timeout, || {
            let matching = self.lines().into_iter().filter(|line| line.contains(pattern));
            newest = matching.skip(seen_before).last();
            newest.is_some()
        });
        newest
    }

    /// The number of lines so far that contain the pattern.
    pub fn count_lines(&self, pattern: &str) -> usize {
        self.lines().iter().filter(|line| line.contains(pattern)).count()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing fails only for a process that has ended already.
        self.kill().unwrap_or_default();
    }
}
