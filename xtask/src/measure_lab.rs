//! Memory of the laboratory: the most that one run held, by ingresses and by emulated time. What a run holds at any
//! time is tries of the last minute, accounts, and the ingresses' own figures.

use crate::figures::Figures;
use crate::process::{build_for_proof, Result};
use std::fs;
use std::process::{Command, Stdio};
use std::time::Duration;

const FILE: &str = include_str!("../../crates/lab/experiments/calm.toml");

pub fn run() -> Result<Figures> {
    let program = build_for_proof()?.with_file_name("violetyoke-service");
    let mut figures = Figures::default();
    let mut held = Vec::new();
    for (scale, ingresses, seconds) in [(1, 60, 10), (5, 300, 10), (5, 300, 40), (17, 1_020, 10)] {
        let text = FILE
            .replace("values = [1, 5]", &format!("values = [{scale}]"))
            .replace("\nseconds = 26", &format!("\nseconds = {seconds}"))
            .replace("seeds = 3", "seeds = 1");
        let file = std::env::temp_dir()
            .join(format!("violetyoke-lab-{}-{ingresses}-{seconds}.toml", std::process::id()));
        fs::write(&file, text)?;
        let mut child = Command::new(&program)
            .args(["lab", "run", "--threads", "1"])
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        let mut most = 0;
        let status = loop {
            // The most it ever held; once it has ended there is nothing to read.
            let told = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
            let line = told.lines().find_map(|line| line.strip_prefix("VmHWM:"));
            let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
            most = most.max(kilobytes.unwrap_or(0));
            if let Some(status) = child.try_wait()? {
                break status;
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        fs::remove_file(&file)?;
        if !status.success() {
            return Err(format!("lab run ended with {status}").into());
        }
        figures.tell(&format!("ingresses_{ingresses}_seconds_{seconds}_most_kb"), most);
        held.push((ingresses, most as f64));
    }
    let (first, last) = (held[0], held[3]);
    figures.tell("kb_an_ingress", format!("{:.0}", (last.1 - first.1) / f64::from(last.0 - first.0)));
    figures.tell("growth_from_10_to_40_s", format!("{:.2}", held[2].1 / held[1].1));
    Ok(figures)
}
