//! The page's tables are the tool's.

use staircross_capacity::slopes::COMMITTED;
use staircross_capacity::{Sizes, Slopes, plan};

const PAGE: &str = include_str!("../../../docs/CAPACITY.md");

fn assert_on_page(name: &str, text: &str) {
    let sizes = Sizes::from_toml(name, text).expect("a shipped size is valid");
    let slopes = Slopes::from_toml("slopes.toml", COMMITTED).expect("the committed slopes are valid");
    let worked_out = plan(&sizes, &slopes);
    let hint = format!("docs/CAPACITY.md is out of date: copy in `staircross plan --sizes examples/{name}.toml`");
    assert!(PAGE.contains(worked_out.markdown().trim()), "{hint}\n{}", worked_out.markdown());
    assert!(PAGE.contains(&worked_out.verdict()), "{hint}\n{}", worked_out.verdict());
}

#[test]
fn page_holds_the_target() {
    assert_on_page("target", include_str!("../../../examples/target.toml"));
}

#[test]
fn page_holds_the_office() {
    assert_on_page("office", include_str!("../../../examples/office.toml"));
}

#[test]
fn page_holds_polana() {
    assert_on_page("polana", include_str!("../../../examples/polana.toml"));
}

#[test]
fn size_with_a_bad_number_is_refused_by_name() {
    let text = include_str!("../../../examples/target.toml").replace("nodes = 530", "nodes = 0");
    let error = Sizes::from_toml("target", &text).expect_err("refused");
    assert_eq!(error.to_string(), "nodes: 0 is not allowed; allowed: a number above 0");
}
