//! Tests of `staircross explain` on a log with lines of several nodes.

use std::process::Command;

const LOG: &str = "\
t=900.000 node=front-1 event=start run=old zone=a
t=900.500 node=front-1 event=pressed pressed=true busy_percent=80
   0.1 front-1 t=100.000 node=front-1 event=start run=abc zone=a
t=100.200 node=front-1 event=store lane=searchers reachable=true
t=100.300 node=front-1 event=configuration version=4 routes=3 services=2 source=peer peer=127.0.0.1:7
t=100.340 node=front-1 event=version_held held=false version=4 store_version=2 store_returned=false
t=100.350 node=front-1 event=searchers changed=29 draining=0 gone=0 known=29 revision=70 source=searchers
t=100.400 node=front-1 event=searcher instance=i-9 service=left address=127.0.0.1:1 draining=false cold_ms=0 source=searchers
t=101.000 node=front-2 event=finish request=beef route=r version=4 outcome=merged status=200 parts=2 missing=0 extras=0 ms=9.0
t=120.080 node=front-1 event=send attempt=2 reason=hedge searcher=i-9 request=cafe after_ms=80
cut off t=1
t=120.228 node=front-1 event=left_out service=left asked=i-8,i-9 cause=late request=cafe after_ms=228
t=120.228 node=front-1 event=finish request=cafe route=r version=4 outcome=merged status=200 parts=1 missing=1 extras=1 ms=228.0
t=121.000 node=front-1 event=admission group=left level=0.60 wait_ms=90 tolerable_ms=40
t=121.100 node=front-1 event=admission group=right level=0.30 wait_ms=99 tolerable_ms=40
t=121.200 node=front-1 event=admission group=right level=1.00 wait_ms=1 tolerable_ms=40
t=121.500 node=front-1 event=not_admitted group=left part=0.60 request=f00d after_ms=0
t=121.500 node=front-1 event=finish request=f00d route=r version=4 outcome=overloaded status=503 parts=0 missing=0 extras=0 ms=0.0
t=122.000 node=front-3 event=left_out service=left asked=i-77 cause=failed request=feed after_ms=9
t=123.000 node=front-1 event=suspicion content=0a level=suspect lost=2 source=own
t=123.010 node=front-1 event=suspicion content=0b level=suspect lost=2 source=own
t=123.200 node=front-1 event=suspicion content=0a level=quarantined lost=3 source=peer
t=123.210 node=front-1 event=alarm route=r raised=true
t=123.220 node=front-1 event=alarm route=other raised=true
t=123.230 node=front-1 event=alarm route=other raised=false
t=123.300 node=front-1 event=finish request=dead route=r version=4 outcome=quarantined status=503 parts=0 missing=0 extras=0 content=0a ms=0.0
t=130.000 node=front-1 event=configuration version=5 routes=3 services=2 source=peer
";

fn explain(request: &str) -> (bool, String) {
    let file = std::env::temp_dir().join(format!("staircross-explain-{}-{request}.log", std::process::id()));
    std::fs::write(&file, LOG).expect("a log file");
    let output = Command::new(env!("CARGO_BIN_EXE_staircross"))
        .args(["explain", "--file"])
        .arg(&file)
        .args(["--request", request])
        .output()
        .expect("it runs");
    std::fs::remove_file(&file).expect("the file is there");
    (output.status.success(), String::from_utf8(output.stdout).expect("text"))
}

#[test]
fn a_request_is_told_with_what_was_believed_and_known() {
    let (found, report) = explain("cafe");
    assert!(found);
    let order = [
        "request cafe at front-1",
        "what the node believed",
        "configuration  version=4 routes=3 services=2 source=peer peer=127.0.0.1:7",
        "version_held  held=false version=4 store_version=2",
        "what it decided",
        "+80.0 ms  send",
        "left_out  service=left asked=i-8,i-9 cause=late",
        "+228.0 ms  finish",
        "i-8: one of 29 learned of together at t=100.350 from searchers, or later",
        "searcher  instance=i-9",
    ];
    let mut rest = report.as_str();
    for part in order {
        let at = rest.find(part).unwrap_or_else(|| panic!("{part:?} is missing, or too early, in\n{report}"));
        rest = &rest[at..];
    }
    assert!(!report.contains("version=5"), "what came later is not shown:\n{report}");
    assert!(!report.contains("pressed"), "nor what another run of the node believed:\n{report}");
    assert!(!report.contains("beef"), "nor what isn't its own:\n{report}");
}

#[test]
fn a_refusal_for_overload_is_told_with_the_wait_that_it_follows_from() {
    let (found, report) = explain("f00d");
    assert!(found);
    let belief = report.find("admission  group=left level=0.60 wait_ms=90").expect(&report);
    let decision = report.find("not_admitted  group=left part=0.60").expect(&report);
    assert!(belief < decision, "{report}");
    assert!(!report.contains("group=right"), "what is taken whole again tells nothing:\n{report}");
}

#[test]
fn a_searcher_that_no_line_tells_of_is_said_so() {
    let (found, report) = explain("feed");
    assert!(found);
    assert!(report.contains("no entry of i-77 in this log"), "{report}");
}

#[test]
fn a_request_that_no_line_names_is_said_so_with_what_to_look_for() {
    let (found, report) = explain("none");
    assert!(!found);
    assert!(report.contains("no line names request none") && report.contains("lines_held_back"), "{report}");
}

#[test]
fn a_quarantined_request_is_told_with_what_was_thought_of_its_content_alone() {
    let (found, report) = explain("dead");
    assert!(found);
    assert!(report.contains("-100.0 ms  suspicion  content=0a level=quarantined lost=3 source=peer"), "{report}");
    assert!(!report.contains("content=0b") && !report.contains("level=suspect"), "{report}");
    assert!(report.contains("alarm  route=r raised=true") && !report.contains("route=other"), "{report}");
}
