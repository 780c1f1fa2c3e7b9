//! The documentation's error table is the code's.

use staircross_types::errors::error_table_markdown;
use staircross_types::{ErrorKind, Executed};

#[test]
fn error_table_is_as_documented() {
    insta::assert_snapshot!(error_table_markdown());
}

#[test]
fn documentation_holds_the_table() {
    let page = include_str!("../../../docs/ERRORS.md");
    assert!(page.contains(error_table_markdown().trim()), "docs/ERRORS.md is out of date: copy the snapshot into it");
}

#[test]
fn names_are_unique_and_refusals_that_may_have_run_are_never_client_errors() {
    let mut names: Vec<&str> = ErrorKind::ALL.iter().map(|kind| kind.name()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), ErrorKind::ALL.len());
    for kind in ErrorKind::ALL.iter().filter(|kind| kind.executed() == Executed::Maybe) {
        assert!(!(400..500).contains(&kind.http_status()), "{kind}");
    }
}
