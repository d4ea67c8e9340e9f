//! Stand-ins of the platform, its replicas and consumers, and the cases that use them.

mod cases;
mod http;
mod json;
mod replica;
mod store;
mod world;

use std::{
    process::exit,
    thread,
    time::Duration, //
};

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(118);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: cases CASE FOLDER");
        exit(2);
    };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        world::end_all();
        exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    exit(cases::run(name, folder, trouble));
}
