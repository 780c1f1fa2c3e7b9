//! Tests up to which time a node knows that its configuration was the newest.

use staircross_gateway::fleet::{Confirmation, ConfirmedVersion};
use staircross_types::BootTime;

fn confirmed(version: u64, at_ms: u64) -> ConfirmedVersion {
    ConfirmedVersion { version, at: BootTime::from_millis(at_ms) }
}

fn is_last_confirmed_at(confirmation: &Confirmation, at_ms: u64) -> bool {
    confirmation.at() == Some(BootTime::from_millis(at_ms))
}

#[test]
fn signs_on_the_own_version_and_on_older_ones_confirm_it() {
    let mut confirmation = Confirmation::default();
    assert_eq!(confirmation.at(), None);
    confirmation.record(4, confirmed(4, 1000));
    confirmation.record(4, confirmed(3, 1500));
    confirmation.record(4, confirmed(4, 1200));
    assert!(is_last_confirmed_at(&confirmation, 1500));
}

#[test]
fn a_sign_on_a_newer_version_counts_once_that_is_here() {
    let mut confirmation = Confirmation::default();
    confirmation.record(4, confirmed(4, 1000));
    confirmation.record(4, confirmed(6, 3000));
    confirmation.record(4, confirmed(6, 2500));
    assert!(is_last_confirmed_at(&confirmation, 1000));
    confirmation.set_version(5);
    assert!(is_last_confirmed_at(&confirmation, 1000));
    confirmation.set_version(6);
    assert!(is_last_confirmed_at(&confirmation, 3000));
}
