//! What the processes of one ingress leave for each other in `$TMPDIR` while one takes over from another: who
//! serves, and which nodes are out by hand.
//!
//! ```text
//!   violetyoke-NAME/serving      the process that took over last, in words of its own
//!   violetyoke-NAME/out/ID       node ID (percent-encoded) is out by hand since the file was made
//!   violetyoke-NAME/asks         the process that asks last for what the one that serves knows
//!   violetyoke-NAME/handed       the answer to that, sealed (violetyoke-succession)
//!   violetyoke-NAME/ended        the process that was taken over and ended last
//!   violetyoke-NAME/live/OWN     locked by the process that calls itself so, for as long as it lives
//! ```
//!
//! Files are written under another name and renamed: none is ever seen half.
//!
//! One file a node: two processes that change different nodes at once can't undo each other's word.

use percent_encoding::{percent_decode_str, utf8_percent_encode, NON_ALPHANUMERIC};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;
use std::{env, fs, io};
use violetyoke_decision::interface::Micros;

const ASKS: &str = "asks";
const HANDED: &str = "handed";
const ENDED: &str = "ended";
/// The most that is read of what was handed down.
const LARGEST: u64 = 32 << 20;

pub struct HandoverFolder {
    folder: PathBuf,
    /// What this process calls itself.
    own: String,
    /// Locked until this process ends, in whatever way.
    _alive: fs::File,
}

impl HandoverFolder {
    /// None: there is no folder that processes share.
    pub fn open(name: &str, own: String) -> Option<HandoverFolder> {
        let name = utf8_percent_encode(name, NON_ALPHANUMERIC);
        let folder = PathBuf::from(env::var_os("TMPDIR")?).join(format!("violetyoke-{name}"));
        let open = || {
            fs::create_dir_all(folder.join("out"))?;
            fs::create_dir_all(folder.join("live"))?;
            let alive = fs::File::create(alive(&folder, &own))?;
            // Whoever looks whether its owner lives holds the lock for a moment.
            alive.lock()?;
            Ok(alive)
        };
        match open() {
            Ok(alive) => Some(HandoverFolder { folder, own, _alive: alive }),
            Err::<_, io::Error>(error) => {
                eprintln!("{}: {error}; nothing is left for a successor", folder.display());
                None
            }
        }
    }

    /// Whether the process that calls itself so has not ended. One that has left no lock may be of a build that
    /// knows none: it is taken to live.
    fn lives(&self, process: &str) -> bool {
        let Ok(file) = fs::File::open(alive(&self.folder, process)) else { return true };
        matches!(file.try_lock(), Err(fs::TryLockError::WouldBlock))
    }

    /// What this process calls itself.
    pub fn process_name(&self) -> &str {
        &self.own
    }

    /// Tells an older process that this one serves from now on.
    pub fn announce_serving(&self) -> io::Result<()> {
        self.write("serving", self.own.as_bytes())
    }

    /// Whether another process serves, and lives: a newer one, if this one has said that it does.
    pub fn is_taken_over(&self) -> bool {
        self.others_word("serving").is_some_and(|newer| self.lives(&newer))
    }

    /// Says that this process ends, or who was last to say so.
    pub fn announce_end(&self) -> io::Result<()> {
        self.write(ENDED, self.own.as_bytes())
    }

    pub fn ended_process(&self) -> Option<String> {
        self.others_word(ENDED)
    }

    /// Asks the process that serves for what it knows, and tells who that is; none: nobody ever served.
    pub fn request_state(&self) -> io::Result<Option<String>> {
        let Some(serving) = self.others_word("serving") else { return Ok(None) };
        // Handed to an earlier process: not to be taken for the answer.
        match fs::remove_file(self.folder.join(HANDED)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ if !self.lives(&serving) => return Err(io::Error::other("the process that served has ended")),
            _ => self.write(ASKS, self.own.as_bytes())?,
        }
        Ok(Some(serving))
    }

    /// Which other process has asked last.
    pub fn requested_by(&self) -> Option<String> {
        self.others_word(ASKS)
    }

    /// Leaves the answer, whole.
    pub fn write_state(&self, sealed: &[u8]) -> io::Result<()> {
        self.write(HANDED, sealed)
    }

    /// Takes the answer, if it is there.
    pub fn take_state(&self) -> io::Result<Option<Vec<u8>>> {
        let file = self.folder.join(HANDED);
        match fs::metadata(&file) {
            Ok(of) if of.len() > LARGEST => Err(io::Error::other(format!("it holds {} bytes", of.len()))),
            Ok(_) => {
                let sealed = fs::read(&file)?;
                fs::remove_file(&file)?;
                Ok(Some(sealed))
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn write(&self, name: &str, what: &[u8]) -> io::Result<()> {
        let new = self.folder.join(format!("{name}.new"));
        fs::write(&new, what)?;
        fs::rename(new, self.folder.join(name))
    }

    /// What stands in a file, if that is another process's name.
    fn others_word(&self, name: &str) -> Option<String> {
        fs::read_to_string(self.folder.join(name)).ok().filter(|word| *word != self.own)
    }

    /// Forgets processes that have ended.
    pub fn remove_ended_processes(&self) {
        let Ok(files) = fs::read_dir(self.folder.join("live")) else { return };
        for file in files.flatten() {
            let free = fs::File::open(file.path()).is_ok_and(|file| file.try_lock().is_ok());
            if free {
                let _ = fs::remove_file(file.path());
            }
        }
    }

    /// Nodes that are out by hand, and since when.
    pub fn manual_ejections(&self) -> BTreeMap<String, Micros> {
        let Ok(files) = fs::read_dir(self.folder.join("out")) else { return BTreeMap::new() };
        let node = |file: io::Result<fs::DirEntry>| {
            let file = file.ok()?;
            let name = file.file_name().into_string().ok()?;
            let node = percent_decode_str(&name).decode_utf8().ok()?.into_owned();
            let since = file.metadata().ok()?.modified().ok()?.duration_since(UNIX_EPOCH).ok()?;
            Some((node, since.as_micros() as Micros))
        };
        let mut out = BTreeMap::new();
        out.extend(files.filter_map(node));
        out
    }

    /// Writes down that a node is out, or is not.
    pub fn set_manual_ejection(&self, node: &str, out: bool) -> io::Result<()> {
        let name = utf8_percent_encode(node, NON_ALPHANUMERIC).to_string();
        let file = self.folder.join("out").join(name);
        match out {
            true => fs::OpenOptions::new().create(true).append(true).open(file).map(drop),
            false => match fs::remove_file(file) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
                _ => Ok(()),
            },
        }
    }
}

fn alive(folder: &Path, process: &str) -> PathBuf {
    folder.join("live").join(utf8_percent_encode(process, NON_ALPHANUMERIC).to_string())
}
