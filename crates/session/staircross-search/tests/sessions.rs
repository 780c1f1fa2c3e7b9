//! What counts as a change of a session.

use staircross_search::SessionTable;
use staircross_types::{BootTime, ServiceName, SessionToken, Snapshot};

fn snapshot(version: u64) -> Snapshot {
    Snapshot { version, epoch: 1, build: 1 }
}

/// A use that shows nothing new needs no copy at other nodes. Seen: each reply copied its session's state to two nodes, since the time of last use was a part of what was compared.
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
