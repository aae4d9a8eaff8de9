//! `violetyoke-ctl`: what a change would move, and the operators' calls.

use std::process::ExitCode;
use violetyoke_ctl::verbs::{read, run, Ended, HELP};

fn main() -> ExitCode {
    let wanted = match read(lexopt::Parser::from_env()) {
        Ok(wanted) => wanted,
        Err(error) => {
            eprintln!("violetyoke-ctl: {error}; see --help");
            return ExitCode::from(2);
        }
    };
    if wanted.help {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("violetyoke-ctl: {error}");
            return ExitCode::from(3);
        }
    };
    let ended = runtime.block_on(run(&wanted, &mut std::io::stdout().lock()));
    match &ended {
        Ended::Done => {}
        Ended::Refused(why) | Ended::Wrong(why) | Ended::Unclear(why) => eprintln!("violetyoke-ctl: {why}"),
    }
    ExitCode::from(ended.status())
}
