//! Routes whose requests have ended searchers lately.
//!
//! Where one request of a route ends what runs it, others of that route may do the same: a fault that a kind of query meets, or a caller who varies
//! one. While a route is on alarm, what it asks for that nobody has answered lately is tried on one shard first.

use crate::keys::RouteDigest;
use staircross_types::BootTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time from the newest loss until an alarm is over, where one content of the route is quarantined: harmless requests are held up no longer.
const AFTER_ONE: Duration = Duration::from_secs(15);
/// The same where several are quarantined: more will come. A searcher is back some four seconds after it ended, so a content that comes whenever the
/// alarm is over takes a shard's searchers away for less than 4 in 100 of the time.
const AFTER_SEVERAL: Duration = Duration::from_secs(120);

/// The alarm of one route.
#[derive(Clone, Copy, Debug)]
struct RouteAlarm {
    newest_loss: BootTime,
    until: BootTime,
}

/// Alarms by route; no more of them than there are cases.
#[derive(Debug, Default)]
pub(super) struct RouteAlarms {
    alarms: BTreeMap<RouteDigest, RouteAlarm>,
}

impl RouteAlarms {
    /// Sets a route's alarm by the newest loss under each of its quarantined contents.
    pub fn set(&mut self, route: RouteDigest, newest_losses: impl Iterator<Item = BootTime>) {
        let (count, newest) = newest_losses.fold((0, None), |(count, newest), at| (count + 1, newest.max(Some(at))));
        let time = if count > 1 { AFTER_SEVERAL } else { AFTER_ONE };
        match newest {
            Some(newest_loss) => self.alarms.insert(route, RouteAlarm { newest_loss, until: newest_loss + time }),
            None => self.alarms.remove(&route),
        };
    }

    /// Time since the newest loss of a route's alarm; `None` where it isn't raised.
    pub fn age(&self, now: BootTime, route: RouteDigest) -> Option<Duration> {
        let alarm = self.alarms.get(&route).filter(|alarm| now < alarm.until)?;
        Some(now.since(alarm.newest_loss))
    }

    pub fn is_empty(&self) -> bool {
        self.alarms.is_empty()
    }

    /// Drops the alarms that are over.
    pub fn forget_old(&mut self, now: BootTime) {
        self.alarms.retain(|_, alarm| now < alarm.until);
    }
}
