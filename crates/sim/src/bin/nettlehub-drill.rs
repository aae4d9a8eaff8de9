//! Hosts instances of the decision module on the simulator's wire: batches on standard input, one reply each on standard
//! output. A malformed frame ends it with one line on standard error.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match violetyoke_sim::run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("nettlehub-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
