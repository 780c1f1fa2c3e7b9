//! Which uses of a session change its state.

use staircross_search::SessionTable;
use staircross_types::{BootTime, ServiceName, SessionToken, Snapshot};

fn snapshot(version: u64) -> Snapshot {
    Snapshot { version, epoch: 1, build: 1 }
}

/// Guards against copying the state of a session to other nodes after a use that shows it no new snapshot. Each reply
/// copied the state to two nodes while the time of the last use was part of the state that is compared.
#[test]
fn a_use_that_shows_nothing_new_is_no_change() {
    let token = SessionToken(7);
    let mut sessions = SessionTable::new(10);
    assert!(sessions.open(BootTime::from_millis(1000), token));
    let service = ServiceName::new("clauses");
    sessions.touch(BootTime::from_millis(1000), token).expect("it is open").raise_floor(&service, snapshot(5));
    let before = sessions.get(token).cloned();
    sessions.touch(BootTime::from_millis(2000), token).expect("it is open").raise_floor(&service, snapshot(5));
    assert_eq!(sessions.get(token), before.as_ref());
    sessions.touch(BootTime::from_millis(2000), token).expect("it is open").raise_floor(&service, snapshot(6));
    assert_ne!(sessions.get(token), before.as_ref());
}
