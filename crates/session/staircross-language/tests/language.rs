//! Parsing of statements, and errors that name the place.

use proptest::prelude::*;
use staircross_language::{Statement, parse_statement};

fn error_of(text: &str) -> String {
    match parse_statement(text) {
        Ok(statement) => format!("accepted: {statement:?}"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn statements_are_typed() {
    let texts = [
        "SEARCH 'audit notice' IN SERVICE clauses WAIT 200 MS COVERAGE 99.5% LIMIT 3;",
        "search 'it''s' in clauses",
        "PULL '' IN SERVICE archive AFTER '1.1.1:3:clause-7' LIMIT 500",
        "RUN confirm ON 'pitch-017' IN SERVICE bookings NOTE 'stay' WAIT 500 MS TICKET 'ab-01'",
        "SHOW SERVICES",
        "SHOW CONFIG EXPORT",
        "SHOW SHARDS IN SERVICE clauses",
        "CREATE SERVICE lookups LIKE clauses SET WAIT 50 MS, PRIORITY LATENCY",
        "ALTER SERVICE clauses SET COVERAGE 99.9%, HEDGE 1%, RETRY 0.5%, REPEATABLE YES AT REVISION 12",
        "DROP SERVICE lookups",
        "DRAIN SEARCHER 17",
    ];
    let parsed: Vec<Result<Statement, _>> = texts.iter().map(|text| parse_statement(text)).collect();
    insta::assert_debug_snapshot!(parsed);
}

#[test]
fn errors_name_place_found_and_expected() {
    let texts = [
        "",
        "SERCH 'x' IN SERVICE s",
        "SEARCH x IN SERVICE s",
        "SEARCH 'x' IN SERVICE Clauses",
        "SEARCH 'x'\n  IN SERVICE s\n  WAIT soon",
        "SEARCH 'x' IN SERVICE s LIMIT 100000",
        "SEARCH 'x' IN SERVICE s COVERAGE 101%",
        "SEARCH 'unclosed IN SERVICE s",
        "ALTER SERVICE s",
        "ALTER SERVICE s SET SPEED 3",
        "DRAIN SEARCHER seven",
        "SHOW",
        "SHOW CONFIG HISTORY",
        "SEARCH 'x' IN SERVICE s; DROP SERVICE s",
    ];
    let errors: Vec<String> = texts.iter().map(|text| error_of(text)).collect();
    insta::assert_debug_snapshot!(errors);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn no_text_panics(text in "\\PC{0,80}") {
        let _any_result = parse_statement(&text);
    }

    #[test]
    fn no_mangled_statement_panics(cut in 0_usize..60, insert in "[ -~]{0,3}") {
        let statement = "ALTER SERVICE clauses SET WAIT 200 MS, COVERAGE 99.5% AT REVISION 3";
        let cut = cut.min(statement.len());
        let mangled = format!("{}{insert}{}", &statement[..cut], &statement[cut..]);
        let _any_result = parse_statement(&mangled);
    }
}
