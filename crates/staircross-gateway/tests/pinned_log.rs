//! Tests that log lines keep the names of their events and fields, and the names of the values that fields can have.
//!
//! Log lines are written in many places of the code, so the test reads them from the source text: it takes each string
//! literal with a field such as `event=`, and compares the fields in their order. Where a line is written doesn't
//! matter.

use staircross_cluster::MemberState;
use staircross_gateway::connection_reuse::Evidence;
use staircross_gateway::recorder::RecordingEnd;
use staircross_gateway::store_role::StoreRole;
use staircross_gateway::store_version::VersionHolding;
use staircross_gateway::traffic::{Purpose, Reach};
use staircross_routing::decision::placement::Distance;
use staircross_routing::engine::{HoldCause, LeftOutCause, SendReason, UnsentCause};
use staircross_routing::state::request::Unknown;
use staircross_routing::store_reader::Lane;
use staircross_routing::{KeyKind, KeyRefusal, NotRun, Suspicion, UnreadableReason};
use staircross_types::ErrorKind;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn collect_sources(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_sources(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Returns all string literals of a source file outside of comment lines. Escapes are kept, except that a backslash at
/// the end of a line joins it with the next one.
fn literals(text: &str) -> Vec<String> {
    let mut found = Vec::new();
    let code: Vec<&str> = text.lines().filter(|line| !line.trim_start().starts_with("//")).collect();
    let code = code.join("\n").replace("'\"'", "' '");
    let mut chars = code.chars();
    while chars.any(|c| c == '"') {
        let mut literal = String::new();
        while let Some(c) = chars.next().filter(|c| *c != '"') {
            match c {
                '\\' => match chars.next() {
                    Some('\n') => literal.push_str("\\\n"),
                    Some(escaped) => literal.extend(['\\', escaped]),
                    None => {}
                },
                c => literal.push(c),
            }
        }
        let mut joined = String::new();
        for (index, part) in literal.split("\\\n").enumerate() {
            joined.push_str(if index == 0 { part } else { part.trim_start() });
        }
        found.push(joined);
    }
    found
}

/// Returns the words of a literal in their order, with `…` for each placeholder.
fn fields(literal: &str) -> String {
    let field = |word: &str| -> String {
        let Some((name, value)) = word.split_once('=') else {
            return if word.contains('{') { "…".to_owned() } else { word.to_owned() };
        };
        if value.starts_with('{') { format!("{name}=…") } else { format!("{name}={value}") }
    };
    literal.split_whitespace().map(field).collect::<Vec<String>>().join(" ")
}

/// Whether a literal is part of a log line: it has a field `name=` and contains no `/`, `&` or `#`.
fn is_log_text(literal: &str) -> bool {
    let is_name = |word: &str| {
        word.split_once('=')
            .is_some_and(|(name, _)| !name.is_empty() && name.chars().all(|c| c.is_ascii_lowercase() || c == '_'))
    };
    literal.split_whitespace().any(is_name) && !literal.contains(['/', '&', '#'])
}

/// Returns the masked log lines of the gateway's and the platform's source files.
fn lines() -> BTreeSet<String> {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    collect_sources(&here.join("src"), &mut files);
    collect_sources(&here.join("../../platform/src"), &mut files);
    let mut lines = BTreeSet::new();
    for file in files {
        let text = std::fs::read_to_string(file).expect("a source file");
        lines.extend(literals(&text).iter().filter(|literal| is_log_text(literal)).map(|literal| fields(literal)));
    }
    lines
}

#[test]
fn events_and_their_fields() {
    let lines = lines();
    assert!(lines.len() > 30, "only {} lines were found", lines.len());
    insta::assert_snapshot!(lines.into_iter().collect::<Vec<String>>().join("\n"));
}

#[test]
fn literals_are_joined_and_placeholders_masked() {
    let text = "f(\"event=a b={} \\\n    c={d:.2} {what}\"); // x\n// \"event=z\"\n'\"'; g(\"on \\\"x\\\"\")";
    let found = literals(text);
    assert_eq!(found, ["event=a b={} c={d:.2} {what}", "on \\\"x\\\""]);
    assert_eq!(fields(&found[0]), "event=a b=… c=… …");
}

fn line_of_names(what: &str, names: impl IntoIterator<Item = &'static str>) -> String {
    format!("{what}: {}\n", names.into_iter().collect::<Vec<&str>>().join(" "))
}

/// Returns the names of the values in log lines on requests and attempts.
fn of_requests() -> String {
    use UnsentCause::*;
    let not_run = [NotRun::Unconnected, NotRun::ConnectionRejected, NotRun::Stale, NotRun::Shed, NotRun::OtherInstance];
    let unknown = [Unknown::Broken, Unknown::Malformed, Unknown::Ambiguous, Unknown::Unanswered, Unknown::TooLong];
    let reasons = [SendReason::First, SendReason::Hedge, SendReason::Retry, SendReason::Reroute];
    let unsent = [
        OverBudget,
        NoRoom,
        Avoided,
        NoSearcherLeft,
        QueueTooLong,
        Suspect,
        NotRepeatable,
        MaxAttempts,
        KeyRevoked,
        Quarantined,
        Probing,
        OutdatedView,
    ];
    let left_out = [LeftOutCause::Late, LeftOutCause::NoRoom, LeftOutCause::Failed, LeftOutCause::NoSearcher];
    let held =
        [HoldCause::NoConfiguration, HoldCause::OldConfiguration, HoldCause::NoSearchers, HoldCause::OutdatedView];
    let keys = [KeyRefusal::Missing, KeyRefusal::Unknown, KeyRefusal::Malformed, KeyRefusal::Revoked];
    [
        line_of_names("attempt that didn't run", not_run.map(NotRun::name)),
        line_of_names("attempt that may have run", unknown.map(Unknown::name)),
        line_of_names("evidence of reuse_ended", [Evidence::Certain, Evidence::Doubtful].map(Evidence::name)),
        line_of_names("reason of an attempt", reasons.map(SendReason::name)),
        line_of_names("cause of unsent", unsent.map(UnsentCause::name)),
        line_of_names("cause of left_out", left_out.map(LeftOutCause::name)),
        line_of_names("cause of held", held.map(HoldCause::name)),
        line_of_names("cause of key_refused", keys.map(KeyRefusal::name)),
        line_of_names("refusals", ErrorKind::ALL.iter().map(|kind| kind.name())),
    ]
    .concat()
}

/// Returns the names of the values in log lines on the node, its peers and the store.
fn of_the_node() -> String {
    let levels = [Suspicion::None, Suspicion::Suspect, Suspicion::Quarantined];
    let roles = [StoreRole::Reader, StoreRole::Follower, StoreRole::Prober];
    let kinds = [KeyKind::Configuration, KeyKind::Searcher, KeyKind::Evacuation, KeyKind::Unknown];
    // The log line on a member prints its state with `Debug`.
    let states = [MemberState::Alive, MemberState::Leaving, MemberState::Suspect, MemberState::Dead, MemberState::Left];
    let states = states.map(|state| format!("state of member: {state:?}\n")).concat();
    let holdings = [VersionHolding::Unknown, VersionHolding::Held, VersionHolding::NotHeld];
    let ends = [RecordingEnd::Full, RecordingEnd::Failed];
    let reaches = [Distance::OwnZone, Distance::SameRegion, Distance::OtherRegion].map(Reach::Known);
    [
        line_of_names("level of suspicion", levels.map(Suspicion::name)),
        line_of_names("role", roles.map(StoreRole::name)),
        line_of_names("held of version_held", holdings.map(VersionHolding::name)),
        line_of_names("lane", Lane::ALL.map(Lane::name)),
        line_of_names("kind of unreadable_item", kinds.map(KeyKind::name)),
        line_of_names("cause of recording_ended", ends.map(RecordingEnd::name)),
        line_of_names("purpose", Purpose::ALL.map(Purpose::name)),
        line_of_names("reach", reaches.into_iter().chain([Reach::Unknown]).map(Reach::name)),
        states,
    ]
    .concat()
}

/// Returns the texts of the reasons in log lines on unusable items of the store.
fn of_unreadable_items() -> String {
    let reasons = [
        UnreadableReason::Item,
        UnreadableReason::Key,
        UnreadableReason::Encoding,
        UnreadableReason::TooLong { bytes: 1 },
        UnreadableReason::Syntax { line: 2, column: 3 },
        UnreadableReason::Shape { line: 2, column: 3 },
        UnreadableReason::field("a.b"),
    ];
    reasons.iter().map(|reason| format!("reason of unreadable_item: {reason}\n")).collect()
}

#[test]
fn values_that_stand_for_something() {
    insta::assert_snapshot!([of_requests(), of_the_node(), of_unreadable_items()].concat());
}
