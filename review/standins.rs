//! Plays one case of the review: `standins CASE FOLDER`, from the repository's root.
//!
//! The entries are the project's own processes; the store, the replicas, the balancer and the
//! consumers are stand-ins in this process. With `TROUBLE=0` there is no disruption. Exits with 0 if
//! the rule held, 1 if it was broken, and 2 if the case couldn't run.

mod caller;
mod cases;
mod entry;
mod http;
mod json;
mod record;
mod replica;
mod store;
mod world;

use std::{env, path::Path, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::play(case, Path::new(folder), trouble) {
        Ok(true) => ExitCode::from(0),
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
