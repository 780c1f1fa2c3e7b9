//! Checks the program's help text against a snapshot.

use std::process::Command;

#[test]
fn help_is_pinned() {
    let output = Command::new(env!("CARGO_BIN_EXE_staircross-standin")).arg("--help").output().expect("runs");
    let whole = String::from_utf8([output.stdout, output.stderr].concat()).expect("is text");
    insta::assert_snapshot!(whole);
}
