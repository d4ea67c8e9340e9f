//! medlarhatch: a serving system for long model generations on engines that fail.

mod cli;
mod cmd;
mod messages;

use std::process::ExitCode;

use messages::Failure;

fn main() -> ExitCode {
    let args = match cli::parse(std::env::args().collect()) {
        Ok(args) => args,
        Err(code) => return code,
    };
    if let Err(error) = messages::init_logging(args.verbose) {
        eprintln!("{error}");
        return Failure::Failed(String::new()).code();
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start the runtime: {error}");
            return Failure::Failed(String::new()).code();
        }
    };
    match runtime.block_on(cmd::run(args.command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            failure.code()
        }
    }
}
