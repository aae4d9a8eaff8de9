//! The folder in `$TMPDIR` through which the processes of an ingress exchange state during a hot restart: which
//! process serves, the exported state, and the manually ejected nodes.
//!
//! ```text
//!   violetyoke-NAME/serving       name of the process that took over last
//!   violetyoke-NAME/out/ID        node ID (percent-encoded) is manually ejected since the file was created
//!   violetyoke-NAME/asks          name of the process that last requested the state of the serving one
//!   violetyoke-NAME/handed        the requested state, sealed (violetyoke-succession)
//!   violetyoke-NAME/ended         name of the replaced process that ended last
//!   violetyoke-NAME/live/PROCESS  locked by the process of this name for its lifetime
//! ```
//!
//! Files are written under a temporary name and renamed, so that no process reads a partial one. There is one
//! file for each ejected node, so that two processes which change different nodes at the same time don't
//! overwrite each other.

use percent_encoding::{percent_decode_str, utf8_percent_encode, NON_ALPHANUMERIC};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;
use std::{env, fs, io};
use violetyoke_decision::interface::Micros;

const REQUESTED_BY_FILE: &str = "asks";
const STATE_FILE: &str = "handed";
const ENDED_FILE: &str = "ended";
/// The largest state that is read (bytes).
const MAX_STATE_BYTES: u64 = 32 << 20;

pub struct HandoverFolder {
    folder: PathBuf,
    /// Name of this process.
    process_name: String,
    /// Locked until this process ends, for whatever reason.
    _alive: fs::File,
}

impl HandoverFolder {
    /// Opens the folder. `None`: there is no shared folder.
    pub fn open(name: &str, process_name: String) -> Option<HandoverFolder> {
        let name = utf8_percent_encode(name, NON_ALPHANUMERIC);
        let folder = PathBuf::from(env::var_os("TMPDIR")?).join(format!("violetyoke-{name}"));
        let open = || {
            fs::create_dir_all(folder.join("out"))?;
            fs::create_dir_all(folder.join("live"))?;
            let alive = fs::File::create(lock_path(&folder, &process_name))?;
            // A process that checks whether the owner is alive holds the lock for a moment.
            alive.lock()?;
            Ok(alive)
        };
        match open() {
            Ok(alive) => Some(HandoverFolder { folder, process_name, _alive: alive }),
            Err::<_, io::Error>(error) => {
                eprintln!("{}: {error}; state handover is disabled", folder.display());
                None
            }
        }
    }

    /// Whether the process of this name is alive. A process without a lock file may be of a build that creates
    /// none and is assumed to be alive.
    fn is_alive(&self, process: &str) -> bool {
        let Ok(file) = fs::File::open(lock_path(&self.folder, process)) else { return true };
        matches!(file.try_lock(), Err(fs::TryLockError::WouldBlock))
    }

    /// The name of this process.
    pub fn process_name(&self) -> &str {
        &self.process_name
    }

    /// Announces that this process serves from now on.
    pub fn announce_serving(&self) -> io::Result<()> {
        self.write("serving", self.process_name.as_bytes())
    }

    /// Whether another process serves and is alive. It is a newer one if this process has announced that it
    /// serves.
    pub fn is_taken_over(&self) -> bool {
        self.read_other_process("serving").is_some_and(|newer| self.is_alive(&newer))
    }

    /// Announces that this process ends.
    pub fn announce_end(&self) -> io::Result<()> {
        self.write(ENDED_FILE, self.process_name.as_bytes())
    }

    /// The other process that was the last to announce its end.
    pub fn ended_process(&self) -> Option<String> {
        self.read_other_process(ENDED_FILE)
    }

    /// Requests the state of the serving process, and returns its name. `None`: no process has served yet.
    pub fn request_state(&self) -> io::Result<Option<String>> {
        let Some(serving) = self.read_other_process("serving") else { return Ok(None) };
        // A state that was exported to an earlier process must not be taken as the requested one.
        match fs::remove_file(self.folder.join(STATE_FILE)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ if !self.is_alive(&serving) => {
                return Err(io::Error::other("the process that served has ended"))
            }
            _ => self.write(REQUESTED_BY_FILE, self.process_name.as_bytes())?,
        }
        Ok(Some(serving))
    }

    /// The other process that was the last to request the state.
    pub fn requested_by(&self) -> Option<String> {
        self.read_other_process(REQUESTED_BY_FILE)
    }

    /// Writes the requested state.
    pub fn write_state(&self, sealed: &[u8]) -> io::Result<()> {
        self.write(STATE_FILE, sealed)
    }

    /// Reads and removes the requested state, if it has been written.
    pub fn take_state(&self) -> io::Result<Option<Vec<u8>>> {
        let file = self.folder.join(STATE_FILE);
        match fs::metadata(&file) {
            Ok(metadata) if metadata.len() > MAX_STATE_BYTES => {
                Err(io::Error::other(format!("state too large: {} bytes", metadata.len())))
            }
            Ok(_) => {
                let sealed = fs::read(&file)?;
                fs::remove_file(&file)?;
                Ok(Some(sealed))
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let new = self.folder.join(format!("{name}.new"));
        fs::write(&new, bytes)?;
        fs::rename(new, self.folder.join(name))
    }

    /// Reads the name of a process from a file. `None`: there is no such file, or it contains the name of this
    /// process.
    fn read_other_process(&self, name: &str) -> Option<String> {
        fs::read_to_string(self.folder.join(name)).ok().filter(|process| *process != self.process_name)
    }

    /// Removes the lock files of processes that have ended.
    pub fn remove_ended_processes(&self) {
        let Ok(files) = fs::read_dir(self.folder.join("live")) else { return };
        for file in files.flatten() {
            let is_unlocked = fs::File::open(file.path()).is_ok_and(|file| file.try_lock().is_ok());
            if is_unlocked {
                let _ = fs::remove_file(file.path());
            }
        }
    }

    /// The manually ejected nodes, and when each was ejected.
    pub fn manual_ejections(&self) -> BTreeMap<String, Micros> {
        let Ok(files) = fs::read_dir(self.folder.join("out")) else { return BTreeMap::new() };
        let node = |file: io::Result<fs::DirEntry>| {
            let file = file.ok()?;
            let name = file.file_name().into_string().ok()?;
            let node = percent_decode_str(&name).decode_utf8().ok()?.into_owned();
            let since = file.metadata().ok()?.modified().ok()?.duration_since(UNIX_EPOCH).ok()?;
            Some((node, since.as_micros() as Micros))
        };
        let mut ejections = BTreeMap::new();
        ejections.extend(files.filter_map(node));
        ejections
    }

    /// Stores whether a node is manually ejected.
    pub fn set_manual_ejection(&self, node: &str, ejected: bool) -> io::Result<()> {
        let name = utf8_percent_encode(node, NON_ALPHANUMERIC).to_string();
        let file = self.folder.join("out").join(name);
        match ejected {
            true => fs::OpenOptions::new().create(true).append(true).open(file).map(drop),
            false => match fs::remove_file(file) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
                _ => Ok(()),
            },
        }
    }
}

fn lock_path(folder: &Path, process: &str) -> PathBuf {
    folder.join("live").join(utf8_percent_encode(process, NON_ALPHANUMERIC).to_string())
}
