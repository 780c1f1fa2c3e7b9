//! Operators' edits of the service document, each of which is checked as a whole.

use staircross_config::{EditError, PlatformDocument, PolicyChange, ServiceEdit};
use staircross_types::{SearcherId, ServiceName};

const DOCUMENT: &str = include_str!("../../../../examples/services.json");

fn document() -> PlatformDocument {
    PlatformDocument::from_json("services.json", DOCUMENT).expect("the example is valid")
}

fn name(text: &str) -> ServiceName {
    ServiceName::new(text)
}

fn wait(wait_ms: u64) -> PolicyChange {
    PolicyChange { wait_ms: Some(wait_ms), ..PolicyChange::default() }
}

fn create(service: &str, like: &str, wait_ms: u64) -> ServiceEdit {
    ServiceEdit::Create { service: name(service), like: name(like), policy: wait(wait_ms) }
}

fn wait_of(document: &PlatformDocument, service: &str) -> Option<u64> {
    document.services.iter().find(|known| known.name.0 == service).map(|known| known.policy.wait_ms)
}

#[test]
fn an_edit_raises_the_revision_by_one_and_leaves_the_original_alone() {
    let before = document();
    let after =
        before.edited(&ServiceEdit::Alter { service: name("clauses"), policy: wait(77) }, None).expect("edited");
    assert_eq!(after.revision, before.revision + 1);
    assert_eq!(wait_of(&after, "clauses"), Some(77));
    assert_eq!(before, document());
}

#[test]
fn a_created_service_shares_its_models_searchers_and_can_be_published() {
    let after = document().edited(&create("lookups", "clauses", 50), None).expect("edited");
    assert_eq!(wait_of(&after, "lookups"), Some(50));
    let text = serde_json::to_string(&after).expect("written");
    assert_eq!(PlatformDocument::from_json("published", &text), Ok(after));
}

#[test]
fn a_dropped_service_is_gone_and_its_copies_stay() {
    let with_copy = document().edited(&create("lookups", "clauses", 50), None).expect("edited");
    let after = with_copy.edited(&ServiceEdit::Drop { service: name("clauses") }, None).expect("edited");
    assert_eq!((wait_of(&after, "clauses"), wait_of(&after, "lookups")), (None, Some(50)));
}

#[test]
fn a_drained_searcher_stays_drained_through_later_edits_and_publication() {
    let id = document().services[0].searchers[0].id;
    let drained = document().edited(&ServiceEdit::Drain { searcher: id }, None).expect("edited");
    let later =
        drained.edited(&ServiceEdit::Alter { service: name("clauses"), policy: wait(5) }, None).expect("edited");
    let text = serde_json::to_string(&later).expect("written");
    let published = PlatformDocument::from_json("published", &text).expect("valid");
    assert!(published.drained.contains(&id));
}

#[test]
fn what_can_not_be_made_is_refused_by_name() {
    let refused = |edit: &ServiceEdit, based_on| document().edited(edit, based_on).expect_err("refused");
    let altered = |service: &str, wait_ms| ServiceEdit::Alter { service: name(service), policy: wait(wait_ms) };
    assert!(matches!(refused(&altered("nobody", 5), None), EditError::UnknownService { name } if name == "nobody"));
    assert!(matches!(refused(&create("new", "nobody", 5), None), EditError::UnknownService { .. }));
    assert!(matches!(refused(&altered("clauses", 0), None), EditError::Invalid(_)));
    assert!(matches!(refused(&create("clauses", "clauses", 5), None), EditError::Invalid(_)), "the name is taken");
    assert!(matches!(refused(&create("Bad Name", "clauses", 5), None), EditError::Invalid(_)));
    let drain_unknown = ServiceEdit::Drain { searcher: SearcherId(9999) };
    assert!(matches!(refused(&drain_unknown, None), EditError::UnknownSearcher { id } if id == SearcherId(9999)));
    let revision = document().revision;
    let conflict = refused(&altered("clauses", 5), Some(revision + 3));
    assert_eq!(conflict, EditError::Conflict { based_on: revision + 3, revision });
    assert!(document().edited(&altered("clauses", 5), Some(revision)).is_ok());
}

#[test]
fn one_searcher_described_in_two_ways_is_refused() {
    let mut broken = document().edited(&create("lookups", "clauses", 50), None).expect("edited");
    let copy = broken.services.iter_mut().find(|service| service.name.0 == "lookups").expect("created");
    copy.searchers[0].slots += 1;
    let error = broken.check().expect_err("refused").to_string();
    assert!(error.contains("services.lookups.searchers.id"), "{error}");
}
