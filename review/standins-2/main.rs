//! Cases of the second review. `standins-2 NAME RECORD` runs one; with `TROUBLE=0` it does the same without the disruption.
//! It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.

mod client;
mod config;
mod foreign;
mod gateway;
mod http;
mod older_copy;
mod record;
mod searcher;
mod stale_seed;
mod store;
mod traffic;
mod unsigned;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(&'static str),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = arguments.as_slice() else {
        eprintln!("usage: standins-2 NAME RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(path));
    record.line(&format!("case {name} trouble={has_trouble}"));
    let verdict = match name.as_str() {
        "unsigned" => unsigned::run(&record, has_trouble),
        "foreign" => foreign::run(&record, has_trouble),
        "older-copy" => older_copy::run(&record, has_trouble),
        "stale-seed" => stale_seed::run(&record, has_trouble),
        _ => Verdict::NotRun("no such case"),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(why) => (format!("not run: {why}"), 2),
    };
    record.line(&text);
    println!("{name} trouble={has_trouble}: {text}");
    ExitCode::from(code)
}
