//! Tests that recordings keep their encoded form, since later builds replay the recordings of earlier ones.

mod forms;

use forms::{bytes_of, diagnostic, from_hex, pin, pin_sparse};
use staircross_routing::recording::Record;
use staircross_wire::frame::decode;

// Bounds, policies, definitions and entries that occur in several records.
const EXTRA: &str = r#"{"ratio":0.2,"window":{"secs":10,"nanos":0},"slack":58.0}"#;
const COLD: &str = r#"{"factor":1.5,"slack":2.0}"#;
const QUOTA: &str = r#"{"window":{"secs":1,"nanos":500},"over":0.1,"slack":3.0}"#;
const POLICY: &str = r#"{"hedges":true,"hedge_pressure":false,"avoid_slow":true,"avoid_overdue":true,"reported_host":true,
    "hedge_by_budget":true,"avoid_rejecting":true,"near_first":true,"admission":true,"waiting":true,"connection_ramp":true,
    "start_rest":true,"holds":true,"quarantine":true,"first_probes":true,"caller_distance":true}"#;
const DEFINITION: &str = r#"{"version":7,"routes":[{"name":"one","host":"h","path_prefix":"/one/","target":{"Service":"s"},
    "is_idempotent":true,"timeout_ms":1000,"goal_ms":400,"max_attempts":2,"priority":1}],
    "services":[{"name":"s","max_connections":40,"cold_start":{"duration_ms":0,"requests_per_s":null}}],
    "limits":{"head_bytes":16384,"body_bytes":262144,"head_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
const ENTRY: &str = r#"{"instance":"i-1","service":"s","address":{"V4":[[127,0,0,1],9000]},"zone":"hall","slots":8,
    "is_draining":false,"cold_ms":0,"born_ms":1700000000000}"#;
const CASE: &str = r#"{"c":77,"l":[{"s":5,"b":900,"e":800,"v":true}],"a":12,"r":99}"#;
const KEY: &str = r#"[0,1,2,3,4,5,6,7,8,9,10,11,12,13,14,15]"#;

/// Names of all kinds of refusals.
const REFUSAL_KINDS: [&str; 33] = [
    "bad_syntax",
    "bad_request",
    "too_large",
    "head_too_large",
    "caller_too_slow",
    "not_found",
    "unknown_session",
    "session_sought",
    "unknown_service",
    "not_repeatable",
    "bad_ticket",
    "pull_interrupted",
    "no_route",
    "unauthorized",
    "revision_conflict",
    "invalid_configuration",
    "over_quota",
    "overloaded",
    "too_many_sessions",
    "no_snapshot",
    "no_configuration",
    "no_replica",
    "unconfirmed",
    "no_replica_yet",
    "no_allowed_replica",
    "quarantined",
    "leaving",
    "not_delivered",
    "coverage_too_low",
    "timed_out",
    "back_ends_failed",
    "outcome_unknown",
    "internal",
];

fn begin() -> String {
    format!(
        r#"{{"Begin":{{"node":"n1","extra":{EXTRA},"zone":"hall","regions":{{"hall":"north"}},"lapse_grace":{{"secs":2,"nanos":0}},
        "cold":{COLD},"max_requests":1000,"restarted_at":5,"policy":{POLICY},"seed":11,
        "node_id":"h'00000000000000000000000000000001'","quota":{QUOTA},"started_at":6}}}}"#
    )
}

fn turn(event: &str, decisions: &str) -> String {
    format!(r#"{{"Turn":{{"at":1000,"event":{event},"decisions":[{decisions}]}}}}"#)
}

fn arrival(view: &str, credential: &str, patience: &str) -> String {
    format!(
        r#"{{"Arrived":{{"key":3,"host":"h","path":"/one/1","patience":{patience},"waited":{{"secs":0,"nanos":1000}},
        "is_overloaded":false,"newest_version":7,"view":"{view}","knows_searchers":true,
        "link":{{"round_trip":{patience},"is_fresh":true}},"content":77,"credential":{credential}}}}}"#
    )
}

fn events() -> Vec<String> {
    let mut events = vec![
        format!(r#"{{"ExtraBound":{EXTRA}}}"#),
        format!(r#"{{"ColdBound":{COLD}}}"#),
        format!(r#"{{"QuotaBound":{QUOTA}}}"#),
        format!(r#"{{"Configuration":{DEFINITION}}}"#),
        format!(r#"{{"Searchers":[{ENTRY}]}}"#),
        r#"{"SearchersGone":["i-1"]}"#.to_owned(),
        r#"{"SearchersLeft":["i-1"]}"#.to_owned(),
        r#"{"Evacuated":["hall"]}"#.to_owned(),
        r#"{"Fleet":{"nodes_by_zone":{"hall":2},"serving":2,"rank":1,"slack_part":0.5}}"#.to_owned(),
        r#"{"Fleet":{"nodes_by_zone":{},"serving":2,"rank":null,"slack_part":0.5,"nodes":["h'00000000000000000000000000000001'"]}}"#
            .to_owned(),
        r#"{"CallerGone":3}"#.to_owned(),
        r#"{"StopsAt":9000000}"#.to_owned(),
        r#"{"Connected":{"searcher":4,"took":{"secs":0,"nanos":2000}}}"#.to_owned(),
        r#"{"Begun":{"attempt":{"request":3,"number":1}}}"#.to_owned(),
        format!(r#"{{"PeerCases":[{CASE}]}}"#),
        r#"{"Isolated":{"is_isolated":true}}"#.to_owned(),
        r#"{"PeerQuota":{"from":"h'00000000000000000000000000000002'","messages":[{"w":{"t":5,"s":1,"p":0.25}}]}}"#.to_owned(),
        r#""Tick""#.to_owned(),
    ];
    let key = format!(r#"{{"Key":{KEY}}}"#);
    let patience = r#"{"secs":4,"nanos":0}"#;
    let arrivals =
        [("Current", "\"Missing\"", "null"), ("Doubtful", &key, patience), ("Expired", "\"Malformed\"", patience)];
    events.extend(arrivals.map(|(view, credential, patience)| arrival(view, credential, patience)));
    events
}

fn outcomes() -> Vec<String> {
    let answered = [
        r#"{"Answered":{"status":200,"is_stamped":true,"report":{}}}"#,
        r#"{"Answered":{"status":500,"is_stamped":false,"report":{"load":{"running":3,"waiting":1,"slots":8,"host_slowness":240},"cold":{"secs":1,"nanos":0}}}}"#,
        r#"{"Answered":{"status":200,"is_stamped":true,"report":{"load":{"running":3,"waiting":1,"slots":8,"host_slowness":null}}}}"#,
        r#""Withdrawn""#,
    ];
    let not_run = ["Unconnected", "TurnedAway", "Stale", "Shed", "OtherInstance"];
    let unknown = ["Broken", "Malformed", "Unanswered", "TooLong"];
    let mut outcomes = answered.map(str::to_owned).to_vec();
    outcomes.extend(not_run.map(|reason| format!(r#"{{"NotRun":"{reason}"}}"#)));
    outcomes.extend(unknown.map(|reason| format!(r#"{{"Unknown":"{reason}"}}"#)));
    outcomes
}

fn decisions() -> Vec<String> {
    let send = |reason: &str| {
        format!(r#"{{"Send":{{"attempt":{{"request":3,"number":1}},"instance":"i-1","reason":"{reason}"}}}}"#)
    };
    let finish = |ending: &str| format!(r#"{{"Finish":{{"request":3,"ending":{ending}}}}}"#);
    let mut decisions: Vec<String> = ["First", "Hedge", "Retry", "Reroute"].map(send).to_vec();
    decisions.push(r#"{"Abandon":{"attempt":{"request":3,"number":1}}}"#.to_owned());
    decisions.push(finish(r#"{"Merged":{"parts":2,"missing":1}}"#));
    decisions.push(finish(r#"{"Passed":{"status":404}}"#));
    decisions.extend(REFUSAL_KINDS.map(|kind| finish(&format!(r#"{{"Refused":"{kind}"}}"#))));
    decisions
}

fn all_records() -> Vec<String> {
    let mut records = vec![begin()];
    records.extend(events().iter().map(|event| turn(event, "")));
    let ended = |outcome: &String| {
        turn(&format!(r#"{{"Ended":{{"attempt":{{"request":3,"number":1}},"outcome":{outcome}}}}}"#), "")
    };
    records.extend(outcomes().iter().map(ended));
    records.extend(decisions().iter().map(|decision| turn(r#""Tick""#, decision)));
    records
}

#[test]
fn each_record_is_read_and_written_as_it_was() {
    let records = all_records();
    let forms: Vec<&str> = records.iter().map(String::as_str).collect();
    insta::assert_snapshot!("records", pin::<Record>(&forms));
}

#[test]
fn records_of_earlier_builds_are_read() {
    let begin = format!(
        r#"{{"Begin":{{"node":"n1","extra":{EXTRA},"zone":"hall","regions":{{}},"lapse_grace":{{"secs":2,"nanos":0}},"cold":{COLD},
        "max_requests":1000,"restarted_at":null,"policy":{{}},"seed":11}}}}"#
    );
    let arrived = r#"{"Arrived":{"key":3,"host":"h","path":"/one/1","patience":null,"waited":{"secs":0,"nanos":0},"is_overloaded":false,
        "knows_searchers":true,"link":{"round_trip":null,"is_fresh":true},"content":77}}"#;
    insta::assert_snapshot!("sparse_records", pin_sparse::<Record>(&[&begin, &turn(arrived, "")]));
}

/// The bytes of a turn as a build wrote it to a recording, in hexadecimal digits.
const WRITTEN_TURN: &str = "a1645475726ea362617419\
03e8656576656e74645469636b696465636973696f6e7380";

#[test]
fn bytes_kept_as_data_are_read() {
    let bytes = from_hex(WRITTEN_TURN);
    assert_eq!(diagnostic(&bytes), diagnostic(&bytes_of(&turn(r#""Tick""#, ""))));
    decode::<Record>(&bytes).expect("a record");
}
