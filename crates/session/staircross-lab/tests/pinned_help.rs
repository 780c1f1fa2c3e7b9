//! The help text of the program and of its subcommands `demo` and `fuzz` must not change unnoticed.

use std::process::Command;

/// Returns the section of one subcommand from the whole help text.
fn section(help: &str, subcommand: &str) -> String {
    let title = format!("\nstaircross-lab {subcommand}\n");
    let start = help.find(&title).expect("has the subcommand") + 1;
    let rest = &help[start..];
    let end = rest.find("\nstaircross-lab ").unwrap_or(rest.len());
    rest[..end].trim_end().to_owned()
}

#[test]
fn help_is_pinned() {
    let output = Command::new(env!("CARGO_BIN_EXE_staircross-lab")).arg("--help").output().expect("runs");
    let help = String::from_utf8([output.stdout, output.stderr].concat()).expect("is text");
    let head = help.split("\nstaircross-lab ").next().expect("has a head").trim_end();
    let pins = [head.to_owned(), section(&help, "demo"), section(&help, "fuzz")];
    insta::assert_snapshot!(pins.join("\n\n"));
}
