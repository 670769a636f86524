//! Runs a case with the project's own program and stand-ins of clients, leafs and the store.
//!
//! Usage: `review-harness-2 CASE RECORD`. The exit status is 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. With `TROUBLE=0` in the environment, there is no disruption.

mod client;
mod fleet;
mod http;
mod json;
mod leaf;
mod node;
mod record;
mod restarts;
mod reuse;
mod site;
mod store;

use std::{path::Path, process, thread, time::Duration};

use record::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review-harness-2 CASE RECORD");
        process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Record::create(Path::new(path), true);
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(118));
        println!("the case takes too long");
        node::end_all();
        process::exit(2);
    });
    // A failed expectation ends the case, but not the processes of the system.
    std::panic::set_hook(Box::new(|panic| {
        println!("{panic}");
        node::end_all();
        process::exit(2);
    }));
    let code = match case.as_str() {
        "reuse" => reuse::run(&record, trouble),
        "restarts" => restarts::run(&record, trouble),
        _ => 2,
    };
    record.flush();
    process::exit(code);
}
