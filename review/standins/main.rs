//! Runs one case of the review: `standins CASE RECORD`. With `TROUBLE=0` the disruption is left out.
//!
//! Exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.

mod case_1;
mod case_2;
mod case_3;
mod client;
mod gateway;
mod http;
mod random;
mod record;
mod searcher;
mod store;

use record::Record;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = &arguments[..] else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record.add(format!("case {case}, disruption {}", if has_trouble { "on" } else { "off" }));
    let outcome = match case.as_str() {
        "1" => case_1::run(&record, has_trouble),
        "2" => case_2::run(&record, has_trouble),
        "3" => case_3::run(&record, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let code = match &outcome {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            record.add(format!("the case couldn't run: {error}"));
            eprintln!("the case couldn't run: {error}");
            2
        }
    };
    if let Err(error) = record.write_to(path) {
        eprintln!("{path}: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
