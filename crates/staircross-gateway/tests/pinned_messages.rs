//! Tests that messages between gateway nodes keep their encoded form, since nodes of two builds serve in one fleet.

mod forms;

use forms::{diagnostic, hex, pin, pin_sparse};
use staircross_cluster::Member;
use staircross_cluster::membership::MembershipMessage;
use staircross_gateway::fleet::Announcement;
use staircross_quota::QuotaMessage;
use staircross_routing::{CaseRecord, MirrorUpdate};

const MEMBERS: [&str; 6] = [
    r#"{"n":"h'000102030405060708090a0b0c0d0e0f'","p":{"V4":[[127,0,0,1],7004]},"c":{"V4":[[127,0,0,1],7001]},"r":"north","z":"hall","s":"alive","v":3,"k":false}"#,
    r#"{"n":"h'000102030405060708090a0b0c0d0e0f'","p":{"V6":[[0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,1],7004]},"c":{"V4":[[127,0,0,1],7001]},"r":"north","z":"hall","s":"alive","v":3}"#,
    r#"{"n":"h'00000000000000000000000000000001'","p":{"V4":[[127,0,0,1],1]},"c":{"V4":[[127,0,0,1],2]},"r":"n","z":"a","s":"leaving","v":1}"#,
    r#"{"n":"h'00000000000000000000000000000001'","p":{"V4":[[127,0,0,1],1]},"c":{"V4":[[127,0,0,1],2]},"r":"n","z":"a","s":"suspect","v":1}"#,
    r#"{"n":"h'00000000000000000000000000000001'","p":{"V4":[[127,0,0,1],1]},"c":{"V4":[[127,0,0,1],2]},"r":"n","z":"a","s":"dead","v":1}"#,
    r#"{"n":"h'00000000000000000000000000000001'","p":{"V4":[[127,0,0,1],1]},"c":{"V4":[[127,0,0,1],2]},"r":"n","z":"a","s":"left","v":1}"#,
];

/// Messages of the membership protocol, in which `@` stands for a member.
const MEMBERSHIP: [&str; 9] = [
    r#"{"p":{"n":7,"w":[]}}"#,
    r#"{"p":{"n":7,"w":[@]}}"#,
    r#"{"q":{"n":7,"w":[]}}"#,
    r#"{"q":{"n":7,"w":[@,@],"k":3}}"#,
    r#"{"ProbeFor":{"number":9,"target":"h'00000000000000000000000000000002'","target_address":{"V4":[[127,0,0,1],7004]}}}"#,
    r#"{"Join":{"member":@}}"#,
    r#"{"Everyone":{"members":[@]}}"#,
    r#"{"Everyone":{"members":[],"span":{"f":"h'10000000000000000000000000000000'","l":"h'1fffffffffffffffffffffffffffffff'"}}}"#,
    r#"{"Compare":{"fingerprints":[0,1,2,3,4,5,6,7,8,9,10,11,12,13,14,18446744073709551615]}}"#,
];

const ANNOUNCEMENTS: [&str; 4] = [
    r#"{"v":7,"r":90,"l":0}"#,
    r#"{"v":7,"r":90,"e":4,"l":55,"s":120,"c":340}"#,
    r#"{"v":7,"r":90,"n":95,"e":4,"l":0,"i":2,"j":2,"k":1}"#,
    r#"{"v":7,"r":90,"l":0,"i":2}"#,
];

const QUOTAS: [&str; 7] = [
    r#"{"r":{"t":5,"e":1,"c":{"o":12,"a":10},"k":{"o":6,"a":5}}}"#,
    r#"{"r":{"t":5,"e":1,"c":{"o":12,"a":10},"k":{"o":6,"a":5},"f":"h'00000000000000000000000000000002'"}}"#,
    r#"{"w":{"t":5,"s":1000000,"p":0.25}}"#,
    r#"{"w":{"t":5,"s":1000000,"p":1.0,"k":{"e":1,"c":{"o":12,"a":10}}}}"#,
    r#"{"w":{"t":18446744073709551615,"s":0,"p":0.0}}"#,
    r#"{"w":{"t":5,"s":1,"p":0.25,"i":"h'00000000000000000000000000000003'"}}"#,
    r#"{"w":{"t":5,"s":1,"p":0.25,"k":{"e":2,"c":{"o":3,"a":1}},"i":"h'00000000000000000000000000000003'"}}"#,
];

const CASES: [&str; 2] = [
    r#"{"c":77,"l":[]}"#,
    r#"{"c":77,"l":[{"s":5,"b":900,"e":800,"v":true},{"s":6,"b":70,"e":60,"v":false}],"a":12,"r":99}"#,
];

const ROUTES: &str = r#"[
    {"name":"one","host":"h","path_prefix":"/one/","target":{"Service":"s"},"is_idempotent":true,"timeout_ms":1000,
     "goal_ms":400,"max_attempts":2,"priority":1,"allowed_regions":["north"],"is_public":true},
    {"name":"two","host":"h","path_prefix":"/two/","target":{"Weighted":[{"service":"s","weight":250}]},
     "is_idempotent":false,"timeout_ms":1000,"goal_ms":400,"max_attempts":2,"priority":0},
    {"name":"q","host":"h","path_prefix":"/q/","target":{"Gather":{"shards":["s","t"],"top_k":3,"min_coverage":0.5}},
     "is_idempotent":true,"timeout_ms":1000,"goal_ms":400,"max_attempts":2,"priority":1}]"#;
const SERVICES: &str = r#"[
    {"name":"s","max_connections":40,"cold_start":{"duration_ms":3000,"requests_per_s":12.5}},
    {"name":"t","max_connections":40,"cold_start":{"duration_ms":0,"requests_per_s":null}}]"#;
const TENANTS: &str = r#"[
    {"name":"kami","keys":[[0,1,2,3,4,5,6,7,8,9,10,11,12,13,14,15]],"priority":1,"quota":{"rate_per_s":5.0,"burst":2.0},
     "allowed_regions":["north"]},
    {"name":"nuro","keys":[],"priority":0}]"#;
const LIMITS: &str = r#"{"head_bytes":16384,"body_bytes":262144,"head_timeout_ms":3000,"idle_timeout_ms":15000}"#;

fn update(items: &str) -> String {
    format!(r#"{{"items":[{items}],"is_complete_for_searchers":false,"up_to":12}}"#)
}

fn updates() -> Vec<String> {
    let definition = format!(
        r#"[4,{{"Configuration":{{"definition":{{"version":7,"routes":{ROUTES},"services":{SERVICES},"limits":{LIMITS},"tenants":{TENANTS}}}}}}}]"#
    );
    let without_tenants = format!(
        r#"[4,{{"Configuration":{{"definition":{{"version":7,"routes":[],"services":[],"limits":{LIMITS}}}}}}}]"#
    );
    let delta = format!(
        r#"[5,{{"ConfigurationChanges":{{"deltas":[{{"from":6,"to":7,"routes":{{"set":{ROUTES},"gone":["old"]}},
        "services":{{"set":{SERVICES},"gone":[]}},"tenants":{{"set":{TENANTS},"gone":["kami"]}},"limits":{LIMITS},"digest":99}},
        {{"from":7,"to":8,"routes":{{"set":[],"gone":[]}},"services":{{"set":[],"gone":["t"]}},"limits":{LIMITS},"digest":98}}]}}}}]"#
    );
    let searchers = r#"[6,{"Searcher":{"entry":{"instance":"i-1","service":"s","address":{"V4":[[127,0,0,1],9000]},
        "zone":"hall","slots":8,"is_draining":true,"cold_ms":1500,"born_ms":1700000000000}}}],
        [7,{"Searcher":{"entry":{"instance":"i-2","service":"s","address":{"V4":[[127,0,0,1],9001]},
        "zone":"hall","slots":8,"is_draining":false,"cold_ms":0}}}],[8,{"SearcherGone":{"instance":"i-3"}}],
        [9,{"Evacuation":{"zone":"hall","is_active":true}}]"#;
    let complete_listing = r#"{"items":[],"is_complete_for_searchers":true,"up_to":12,"all_evacuations_at":3}"#;
    let with_newest = r#"{"items":[],"is_complete_for_searchers":false,"up_to":12,"newest":9,"operator_up_to":11}"#;
    let with_version =
        r#"{"items":[],"is_complete_for_searchers":false,"up_to":12,"operator_up_to":11,"version":7,"version_at":11}"#;
    let with_epochs = r#"{"items":[[8,{"SearcherGone":{"instance":"i-3"}}],[9,{"SearcherGone":{"instance":"i-4"}}],
        [3,{"SearcherGone":{"instance":"i-5"}}]],"is_complete_for_searchers":true,"up_to":12,"newest":14,"operator_up_to":11,
        "all_evacuations_at":3,"version":7,"version_at":11,"epochs":{"up_to":2,"newest":2,"operator_up_to":2,
        "all_evacuations_at":1,"version_at":null,"items":[[1,2],[2,1]]}}"#;
    let others = [complete_listing, with_newest, with_version, with_epochs].map(str::to_owned);
    [update(&definition), update(&without_tenants), update(&delta), update(searchers)]
        .into_iter()
        .chain(others)
        .collect()
}

#[test]
fn members_and_announcements() {
    insta::assert_snapshot!("members", pin::<Member>(&MEMBERS));
    insta::assert_snapshot!("announcements", pin::<Announcement>(&ANNOUNCEMENTS));
    insta::assert_snapshot!("announcements_of_older_nodes", pin_sparse::<Announcement>(&[r#"{"v":7,"r":90}"#]));
}

#[test]
fn membership() {
    let forms = MEMBERSHIP.map(|form| form.replace('@', MEMBERS[0]));
    insta::assert_snapshot!("membership", pin::<MembershipMessage>(&forms.each_ref().map(String::as_str)));
}

#[test]
fn quotas_and_cases() {
    insta::assert_snapshot!("quotas", pin::<QuotaMessage>(&QUOTAS));
    insta::assert_snapshot!("cases", pin::<CaseRecord>(&CASES));
}

#[test]
fn answers_to_peers_that_ask_what_changed() {
    let updates = updates();
    let forms: Vec<&str> = updates.iter().map(String::as_str).collect();
    insta::assert_snapshot!("updates", pin::<MirrorUpdate>(&forms));
    let sparse = r#"{"items":[[4,{"Configuration":{"definition":{"version":1,"routes":[],"services":[{"name":"s","max_connections":1}],
        "limits":{"head_bytes":1,"body_bytes":1,"head_timeout_ms":1,"idle_timeout_ms":1},"tenants":[{"name":"t","keys":[]}]}}}]],
        "is_complete_for_searchers":false,"up_to":0}"#;
    insta::assert_snapshot!("updates_of_older_nodes", pin_sparse::<MirrorUpdate>(&[sparse]));
}

#[test]
fn forms_are_read_from_text() {
    let bytes = forms::bytes_of(r#"{"a":["h'00ff'",1,0.5,null,true,"x"]}"#);
    assert_eq!(hex(&bytes), "a16161864200ff01f93800f6f56178");
    assert_eq!(diagnostic(&bytes), r#"{"a": [h'00ff', 1, 0.5, null, true, "x"]}"#);
}
