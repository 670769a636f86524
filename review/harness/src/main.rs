//! Starts a small deployment with one disruption, and checks one rule.

mod client;
mod edge;
mod fleet;
mod http;
mod json;
mod leaf;
mod proxy;
mod record;
mod removed;
mod stale;
mod startup;
mod store;

use std::{env, fs, panic, path::PathBuf, process::exit};

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, disruption, program, folder] = args.as_slice() else {
        eprintln!("usage: review-harness CASE with|without PROGRAM FOLDER");
        exit(2);
    };
    let has_trouble = disruption != "without";
    let work = env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    fs::create_dir_all(&work).expect("temporary folder");
    let run_case = || match case.as_str() {
        "startup" => {
            startup::run(&PathBuf::from(program), &work, &PathBuf::from(folder), has_trouble)
        }
        "stale" => stale::run(&PathBuf::from(program), &work, &PathBuf::from(folder), has_trouble),
        "removed" => {
            removed::run(&PathBuf::from(program), &work, &PathBuf::from(folder), has_trouble)
        }
        _ => 2,
    };
    // The processes are ended while the stack unwinds.
    let code = panic::catch_unwind(run_case).unwrap_or(2);
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&work);
    } else {
        println!("kept {}", work.display());
    }
    exit(code);
}
