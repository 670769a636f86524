//! Runs a case of this review: `harness-3 CASE RECORD`.

mod cases;
mod fleet;
mod http;
mod json;
mod leaf;
mod link;
mod record;
mod store;

use std::{env, fs, panic, path::PathBuf, process::ExitCode, thread, time::Duration};

use record::Record;

/// Longest time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let mut args = env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        println!("usage: harness-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&PathBuf::from(path));
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        println!("cannot run: the time limit is over");
        std::process::exit(2);
    });
    let run: fn(&Record, bool) -> bool = match case.as_str() {
        "lost-removal" => cases::lost_removal,
        "large-entries" => cases::large_entries,
        "lost-watch" => cases::lost_watch,
        "clock-back" => cases::clock_back,
        "watch-cut" => cases::watch_cut,
        _ => fleet::cannot_run("no such case"),
    };
    let outcome = panic::catch_unwind(|| run(&record, has_trouble));
    if env::var_os("KEEP_LOGS").is_none() {
        // Nothing is left to do if it is gone already.
        let _ = fs::remove_dir_all(fleet::folders().1);
    }
    let Ok(is_broken) = outcome else {
        fleet::cannot_run("a stand-in failed");
    };
    record.result(if is_broken { "the rule was broken" } else { "the rule held" });
    ExitCode::from(u8::from(is_broken))
}
