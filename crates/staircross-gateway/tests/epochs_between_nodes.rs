//! The epochs of the store in what nodes send each other: updates, announcements and pulls. A node of the build before
//! sends none.

use proptest::prelude::*;
use staircross_gateway::fleet::Announcement;
use staircross_gateway::pull_request;
use staircross_routing::{AcceptedConfiguration, MirrorItem, MirrorUpdate, PeerKnowledge, StoreEpoch, StoreRevision};
use staircross_wire::frame::{decode, encode};
use std::sync::Arc;

fn any_revision() -> impl Strategy<Value = StoreRevision> {
    (prop::option::of(0..4_u64), 0..9_u64)
        .prop_map(|(epoch, count)| StoreRevision::new(epoch.map_or(StoreEpoch::UNTOLD, StoreEpoch::new), count))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn an_update_keeps_its_revisions(
        items in prop::collection::vec(any_revision(), 0..9),
        [up_to, newest, operator_up_to, version_at] in
            [any_revision(), any_revision(), any_revision(), any_revision()],
        all_evacuations_at in prop::option::of(any_revision()),
    ) {
        let gone = MirrorItem::SearcherGone { instance: Arc::from("a") };
        let items = items.into_iter().map(|revision| (revision, gone.clone())).collect();
        let update =
            MirrorUpdate {
                items,
                up_to,
                newest,
                operator_up_to,
                version: 3,
                version_at,
                all_evacuations_at,
                ..MirrorUpdate::default()
            };
        let received: MirrorUpdate = decode(&encode(&update).expect("the update is encoded")).expect("an update");
        prop_assert_eq!(received, update);
    }

    #[test]
    fn an_announcement_keeps_its_revisions(
        [revision, latest, evacuations] in [any_revision(), any_revision(), any_revision()],
    ) {
        let announcement = Announcement { version: 3, revision, latest, evacuations, ..Announcement::default() };
        let bytes = encode(&announcement).expect("the announcement is encoded");
        prop_assert_eq!(decode::<Announcement>(&bytes).expect("an announcement"), announcement);
    }

    #[test]
    fn a_pull_keeps_its_revisions([revision, evacuations] in [any_revision(), any_revision()], is_any_size: bool) {
        let accepts = if is_any_size { AcceptedConfiguration::Any } else { AcceptedConfiguration::Small };
        let known = PeerKnowledge { revision, version: 8, evacuations, accepts };
        let epochs = pull_request::epochs(&known);
        let parsed = pull_request::parse(&pull_request::target(&known), epochs.as_deref(), StoreEpoch::UNTOLD);
        prop_assert_eq!(parsed, Some(known));
    }
}

/// Guards against nodes of the build before that count as behind or ahead for ever.
#[test]
fn what_carries_no_epoch_counts_as_of_the_epoch_that_the_receiver_knows() {
    let epoch = StoreEpoch::new(2);
    let known = pull_request::parse("/changes?after=116&version=5&evacuations=0", None, epoch).expect("a pull");
    assert_eq!(known.revision, StoreRevision::new(epoch, 116));
    assert_eq!(known.evacuations, StoreRevision::NONE);
    let announced = Announcement { revision: StoreRevision::new(StoreEpoch::UNTOLD, 116), ..Announcement::default() };
    let own = Announcement { revision: StoreRevision::new(epoch, 115), ..Announcement::default() };
    assert!(!own.is_behind(&announced), "without an epoch it is before all others");
    assert!(own.is_behind(&announced.assuming_epoch(epoch)));
}

#[test]
fn a_malformed_pull_is_refused() {
    let target = "/changes?after=116&version=5&evacuations=0";
    for epochs in ["", "2", "2,", "x,2", "2,-1", "2,99999999999999999999"] {
        assert_eq!(pull_request::parse(target, Some(epochs), StoreEpoch::UNTOLD), None, "{epochs}");
    }
    assert_eq!(pull_request::parse("/changes?after=x&version=5&evacuations=0", None, StoreEpoch::UNTOLD), None);
}
