//! Runs one case of the second review: `stand-2 CASE ROOT RECORD`. Exit status: 1 the rule was broken, 0 it held, 2 the case
//! could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod http;
mod record;
mod system;
mod world;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, file] = words.as_slice() else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    if record::open(Path::new(file)).is_err() {
        return ExitCode::from(2);
    }
    // No case may last longer than 120 s; the processes that it started end with this one.
    std::thread::spawn(|| {
        std::thread::sleep(record::seconds(112.0));
        say_all("the case could not run: it took too long");
        std::process::exit(2);
    });
    match cases::run(case, Path::new(root), trouble) {
        Ok(breaks) if breaks.is_empty() => {
            say_all("the rule held");
            ExitCode::SUCCESS
        }
        Ok(breaks) => {
            breaks.iter().for_each(|line| say_all(&format!("BROKEN {line}")));
            ExitCode::from(1)
        }
        Err(error) => {
            say_all(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}

fn say_all(line: &str) {
    record::say(line);
    println!("{line}");
}
