//! Stand-ins and the course of the script cases of this review, with the standard library alone.
//!
//! `stand CASE RECORD` starts the three programs that `deploy/system.toml` builds as separate processes on loopback
//! addresses, beside stand-ins for the platform, the backends, the operator and the clients. It writes what was sent,
//! run and answered to the file RECORD. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not
//! run. With `TROUBLE=0` in the environment the disruption is left out.

mod backend;
mod half;
mod http;
mod platform;
mod record;
mod system;
mod traffic;
mod wrong;

use record::Record;
use std::process::exit;
use std::time::Duration;

/// No run takes longer than this.
const LONGEST_RUN: Duration = Duration::from_secs(110);

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(file)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: stand CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&file) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{file}: {error}");
            exit(2);
        }
    };
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_RUN);
        eprintln!("the run took too long");
        system::kill_all();
        exit(2);
    });
    record.say(&format!("case {case}, disruption {}", if has_trouble { "on" } else { "off" }));
    let result = match case.as_str() {
        "half" => half::run(&record, has_trouble),
        "wrong" => wrong::run(&record, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    system::kill_all();
    let status = match result {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            2
        }
    };
    record.say(&format!("exit status {status}"));
    exit(status);
}
