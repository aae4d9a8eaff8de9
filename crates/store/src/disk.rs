//! What the register must not forget, on disk: two slots, each a whole state with its number and digest. The older slot
//! is the one that is written, and synced before it counts; a torn write spoils no more than itself. What is found at a
//! start is synced before it counts too: a process that died before its sync leaves bytes that the next loss of power may
//! take. A log was weighed (docs/design/system.md): what is kept is one small state, and a log's tail has to be trusted
//! after a loss of power.

use crate::register::Durable;
use siphasher::sip::SipHasher13;
use std::fs::{File, OpenOptions};
use std::hash::Hasher;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const MAGIC: &[u8; 8] = b"barogr01";
const HEAD: usize = 32;
const NAMES: [&str; 2] = ["state-0", "state-1"];

/// Whose turn of the two slots it is: the older one's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Turn {
    number: u64,
    pub slot: usize,
}

impl Turn {
    /// After what was found in both slots, and the newest state of them.
    pub fn after(found: [Found; 2]) -> (Turn, Option<Durable>) {
        let states = found.into_iter().enumerate().filter_map(|(slot, found)| match found {
            Found::State { number, state } => Some((number, slot, *state)),
            Found::Missing | Found::Spoiled => None,
        });
        match states.max_by_key(|(number, ..)| *number) {
            None => (Turn::default(), None),
            Some((number, slot, state)) => (Turn { number, slot: 1 - slot }, Some(state)),
        }
    }

    /// The bytes that go into its slot.
    pub fn bytes(&self, state: &Durable) -> Vec<u8> {
        write(self.number + 1, state)
    }

    /// They are there.
    pub fn done(&mut self) {
        *self = Turn { number: self.number + 1, slot: 1 - self.slot };
    }
}

/// What both slots' files can do: those of a folder, or a test's.
pub trait SlotFiles {
    /// The bytes of a slot, where it has a file.
    fn read(&mut self, slot: usize) -> io::Result<Option<Vec<u8>>>;
    /// Writes a slot whole and syncs it. Where this fails, the slot may hold any part of the bytes.
    fn write(&mut self, slot: usize, bytes: &[u8]) -> io::Result<()>;
    /// Syncs a slot as it is: a loss of power no longer takes what was read from it.
    fn sync(&mut self, slot: usize) -> io::Result<()>;
    /// Syncs the names of the files.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// Two slots, and which of them is written next.
#[derive(Debug)]
pub struct Slots<F = Folder> {
    files: F,
    turn: Turn,
    /// The names of both files are synced.
    named: bool,
}

/// A slot as it was found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Found {
    Missing,
    Spoiled,
    State { number: u64, state: Box<Durable> },
}

fn digest(number: u64, payload: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(number);
    hasher.write(payload);
    hasher.finish()
}

fn field(bytes: &[u8], at: usize) -> u64 {
    let mut out = [0; 8];
    out.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(out)
}

/// What a slot's bytes say.
pub fn read(bytes: &[u8]) -> Found {
    if bytes.len() < HEAD || &bytes[..8] != MAGIC {
        return Found::Spoiled;
    }
    let (number, length, told) = (field(bytes, 8), field(bytes, 16), field(bytes, 24));
    let end = usize::try_from(length).ok().and_then(|length| length.checked_add(HEAD));
    let Some(payload) = end.and_then(|end| bytes.get(HEAD..end)) else { return Found::Spoiled };
    match rmp_serde::from_slice(payload) {
        Ok(state) if digest(number, payload) == told => Found::State { number, state: Box::new(state) },
        _ => Found::Spoiled,
    }
}

/// A slot's bytes.
pub fn write(number: u64, state: &Durable) -> Vec<u8> {
    let payload = rmp_serde::to_vec(state).unwrap_or_default();
    let mut out = Vec::with_capacity(HEAD + payload.len());
    out.extend_from_slice(MAGIC);
    out.extend_from_slice(&number.to_le_bytes());
    out.extend_from_slice(&(payload.len() as u64).to_le_bytes());
    out.extend_from_slice(&digest(number, &payload).to_le_bytes());
    out.extend_from_slice(&payload);
    out
}

impl Slots {
    /// Opens a folder, and what it holds: nothing, where it is empty or new.
    pub fn open(folder: &Path) -> io::Result<(Slots, Option<Durable>)> {
        std::fs::create_dir_all(folder)?;
        Slots::recover(Folder(folder.to_owned()))
    }
}

impl<F: SlotFiles> Slots<F> {
    /// Syncs and reads both slots.
    pub fn recover(mut files: F) -> io::Result<(Slots<F>, Option<Durable>)> {
        let mut found = [Found::Missing, Found::Missing];
        for (slot, found) in found.iter_mut().enumerate() {
            if let Some(bytes) = files.read(slot)? {
                files.sync(slot)?;
                *found = read(&bytes);
            }
        }
        let named = !found.contains(&Found::Missing);
        if found != [Found::Missing, Found::Missing] {
            files.sync_names()?;
        }
        let (turn, state) = Turn::after(found);
        Ok((Slots { files, turn, named }, state))
    }

    /// Writes and syncs a state; where it returns, a loss of power does not take it.
    pub fn put(&mut self, state: &Durable) -> io::Result<()> {
        self.files.write(self.turn.slot, &self.turn.bytes(state))?;
        if !self.named {
            self.files.sync_names()?;
            self.named = self.turn.slot == 1;
        }
        self.turn.done();
        Ok(())
    }
}

/// The files of a folder.
#[derive(Debug)]
pub struct Folder(PathBuf);

impl Folder {
    fn path(&self, slot: usize) -> PathBuf {
        self.0.join(NAMES[slot])
    }
}

impl SlotFiles for Folder {
    fn read(&mut self, slot: usize) -> io::Result<Option<Vec<u8>>> {
        bytes_of(&self.path(slot))
    }

    fn write(&mut self, slot: usize, bytes: &[u8]) -> io::Result<()> {
        let path = self.path(slot);
        let mut file = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
        file.write_all(bytes)?;
        file.set_len(bytes.len() as u64)?;
        file.sync_all()
    }

    fn sync(&mut self, slot: usize) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.path(slot))?.sync_all()
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}

/// What both slots of a folder hold; nothing is made or written.
pub fn look_at(folder: &Path) -> io::Result<[Found; 2]> {
    let [first, second] = NAMES;
    Ok([look(&folder.join(first))?, look(&folder.join(second))?])
}

/// What a slot's file holds.
pub fn look(path: &Path) -> io::Result<Found> {
    Ok(bytes_of(path)?.map_or(Found::Missing, |bytes| read(&bytes)))
}

fn bytes_of(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match std::fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}
