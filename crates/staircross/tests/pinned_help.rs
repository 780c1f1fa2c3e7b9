//! Snapshot of the program's help.

use std::process::Command;

/// Output of `--help` after `arguments`, which is the help of the whole program in sections, whatever the subcommand.
fn help(arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_staircross"));
    let output = command.args(arguments).arg("--help").output().expect("runs");
    let printed = [output.stdout, output.stderr].concat();
    String::from_utf8(printed).expect("is text")
}

/// The section of one subcommand in the whole help.
fn section(whole: &str, subcommand: &str) -> String {
    let title = format!("\nstaircross {subcommand}\n");
    let start = whole.find(&title).expect("has the subcommand") + 1;
    let rest = &whole[start..];
    let end = rest.find("\nstaircross ").unwrap_or(rest.len());
    rest[..end].trim_end().to_owned()
}

#[test]
fn help_of_every_subcommand_is_pinned() {
    let whole = help(&[]);
    let subcommands = ["node", "query", "command", "status", "explain", "replay", "check"];
    let head = whole.split("\nstaircross ").next().expect("has a head").trim_end();
    let mut pins = vec![head.to_owned()];
    pins.extend(subcommands.map(|subcommand| section(&whole, subcommand)));
    insta::assert_snapshot!(pins.join("\n\n"));
}

#[test]
fn help_of_a_subcommand_is_that_of_the_program() {
    assert_eq!(help(&["node"]), help(&[]));
}
