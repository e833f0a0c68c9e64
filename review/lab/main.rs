//! The cases of the review: `lab CASE RECORD`, from the repository's root.
//!
//! Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` in the
//! environment, the same without the disruption.

mod cases;
mod mqtt;
mod sites;
mod world;

use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use world::World;

/// Verdict of a case.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: lab CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (world, record) = (World::new(), PathBuf::from(record));
    // The router is ended with this process.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    world.note(format!("case {case}, trouble {}", if has_trouble { "on" } else { "off" }));
    let verdict = cases::run(case, &world, has_trouble);
    let (text, code) = match verdict {
        Verdict::Held(text) => (format!("HELD: {text}"), 0),
        Verdict::Broken(text) => (format!("BROKEN: {text}"), 1),
        Verdict::CouldNotRun(text) => (format!("could not run: {text}"), 2),
    };
    world.note(text.clone());
    world.write_record(&record);
    println!("{text}");
    std::process::exit(code);
}
