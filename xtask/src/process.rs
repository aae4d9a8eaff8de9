//! The program under measurement: built, started, and read from outside.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub use violetyoke_rig::free_address;

pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// The root of the repository.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Builds the program in its released form, for figures of its own.
pub fn build() -> Result<PathBuf> {
    build_in(&root(), "violetyoke", "release")
}

/// Builds the program for a proof, which takes less time.
pub fn build_for_proof() -> Result<PathBuf> {
    build_in(&root(), "violetyoke", "proof")
}

/// Builds the three programs of the whole system as `deploy/system.toml` says; the folder they are in.
pub fn build_system() -> Result<PathBuf> {
    let packages = ["violetyoke-proxy", "violetyoke-registry", "violetyoke-store"];
    for package in packages {
        build_in(&root(), package, "system")?;
    }
    Ok(root().join("target/system"))
}

/// Builds the program with the faults that tests inject, in a folder of its own.
pub fn build_with_test_faults() -> Result<PathBuf> {
    let folder = root().join("target/test-faults");
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let status = Command::new(cargo)
        .args(["build", "--quiet", "--profile", "proof", "--locked", "--package", "violetyoke", "--bins"])
        .args(["--features", "test-faults"])
        .current_dir(root())
        .env("CARGO_TARGET_DIR", &folder)
        .status()?;
    if !status.success() {
        return Err("the build with test faults failed".into());
    }
    Ok(folder.join("proof/violetyoke"))
}

/// Builds the stand-ins in their released form.
pub fn build_standin() -> Result<PathBuf> {
    build_in(&root(), "violetyoke-standin", "release")?;
    Ok(root().join("target/release/violetyoke-standin"))
}

fn build_in(root: &Path, package: &str, profile: &str) -> Result<PathBuf> {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let status = Command::new(cargo)
        .args(["build", "--quiet", "--profile", profile, "--locked", "--package", package, "--bins"])
        .current_dir(root)
        .env_remove("CARGO_TARGET_DIR")
        .status()?;
    if !status.success() {
        return Err(format!("the build in {} failed", root.display()).into());
    }
    Ok(root.join("target").join(profile).join("violetyoke"))
}

/// Builds an earlier commit's program, in a work tree of its own below `target`.
pub fn build_commit(commit: &str) -> Result<PathBuf> {
    let tree = tree_of(commit)?;
    let old = fs::read_to_string(tree.join("Cargo.toml"))?.contains("name = \"nettlehub\"");
    build_in(&tree, if old { "nettlehub" } else { "violetyoke" }, "release")
}

/// An earlier commit's files, below `target`.
pub fn tree_of(commit: &str) -> Result<PathBuf> {
    let tree = root().join("target/base").join(commit);
    if !tree.join("Cargo.toml").exists() {
        let archive = Command::new("git").args(["archive", commit]).current_dir(root()).output()?;
        if !archive.status.success() {
            return Err(format!("git archive {commit}: {}", String::from_utf8_lossy(&archive.stderr)).into());
        }
        fs::create_dir_all(&tree)?;
        let mut tar = Command::new("tar").arg("-x").current_dir(&tree).stdin(Stdio::piped()).spawn()?;
        std::io::Write::write_all(tar.stdin.as_mut().ok_or("tar takes no input")?, &archive.stdout)?;
        drop(tar.stdin.take());
        tar.wait()?;
        // A workspace of its own, although it stands below another.
        let manifest = fs::read_to_string(tree.join("Cargo.toml"))?;
        if !manifest.contains("[workspace]") {
            fs::write(tree.join("Cargo.toml"), manifest + "\n[workspace]\n")?;
        }
    }
    Ok(tree)
}

/// A running program; killed when dropped.
pub struct Program {
    child: Child,
    pub address: SocketAddr,
    file: PathBuf,
}

impl Program {
    /// Serves a file whose `LISTEN` stands for any free address.
    pub fn serve(program: &Path, text: &str) -> Result<Program> {
        let address = free_address()?;
        let file = std::env::temp_dir().join(format!("violetyoke-xtask-{}.toml", address.port()));
        fs::write(&file, text.replace("LISTEN", &address.to_string()))?;
        let mut child = Command::new(program).arg("serve").arg(&file).stderr(Stdio::piped()).spawn()?;
        let lines = BufReader::new(child.stderr.take().ok_or("no standard error")?).lines();
        let mut lines = lines.map_while(std::result::Result::ok);
        if !lines.any(|line| line.contains("serving on")) {
            let _ = child.kill();
            return Err("the program ended before it served".into());
        }
        std::thread::spawn(move || lines.for_each(|line| eprintln!("{line}")));
        Ok(Program { child, address, file })
    }

    /// The platform's form, with a configuration in its words.
    pub fn platform(program: &Path, config: serde_json::Value) -> Result<Program> {
        let address: SocketAddr = config["listen"].as_str().unwrap_or_default().parse()?;
        let file = std::env::temp_dir().join(format!("violetyoke-xtask-{}.json", address.port()));
        fs::write(&file, config.to_string())?;
        let child = Command::new(program).env("EDGE_CONFIG", &file).stderr(Stdio::null()).spawn()?;
        let program = Program { child, address, file };
        let end = Instant::now() + Duration::from_secs(10);
        while !crate::load::ready(address) {
            if Instant::now() > end {
                return Err("the program did not get ready".into());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(program)
    }

    /// A stand-in as a process of its own, which tells its address first and serves while its input is open.
    pub fn standin(program: &Path, arguments: &[&str]) -> Result<Program> {
        let mut child =
            Command::new(program).args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let mut lines = BufReader::new(child.stdout.take().ok_or("no standard output")?).lines();
        let line = lines.next().ok_or("the stand-in ended")??;
        Ok(Program { child, address: line.parse()?, file: PathBuf::new() })
    }

    /// Memory held now, in KiB.
    pub fn resident(&self) -> Result<u64> {
        self.status("VmRSS:")
    }

    /// The part of it that is the program's own, not read from its file.
    pub fn anonymous(&self) -> Result<u64> {
        self.status("RssAnon:")
    }

    /// A line of the kernel's account of the process, in KiB.
    fn status(&self, key: &str) -> Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix(key));
        let number = line.and_then(|line| line.trim().strip_suffix(" kB"));
        Ok(number.ok_or_else(|| format!("no {key}"))?.trim().parse()?)
    }

    /// CPU time used so far by all of its threads, and for it by the kernel, in microseconds.
    pub fn cpu(&self) -> Result<f64> {
        let mut nanoseconds = 0.0;
        for thread in fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let stat = fs::read_to_string(thread?.path().join("schedstat"))?;
            nanoseconds += stat.split(' ').next().ok_or("no schedstat")?.parse::<f64>()?;
        }
        Ok(nanoseconds / 1e3)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
    }
}
