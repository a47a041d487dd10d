//! Runs the scheduler on the simulator's line protocol, over standard input and output.

use lanegate_courier::wire::Host;
use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic in the scheduler is reported on the wire as a `BUG` line, so no backtrace is printed.
    std::panic::set_hook(Box::new(|_| {}));
    match Host::default().run(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("courier-simulator-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}
