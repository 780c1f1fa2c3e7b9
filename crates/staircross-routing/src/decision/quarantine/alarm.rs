//! Alarms of routes whose requests have crashed searchers lately.
//!
//! If one request of a route crashes the searchers that run it, other requests of that route may do so too: the cause
//! may be a fault that a kind of query triggers, or a caller that varies one query. While a route's alarm is raised,
//! contents of the route that no searcher has answered lately are tried on one shard first.

use crate::keys::RouteDigest;
use staircross_types::BootTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time from the newest loss until an alarm ends, if one content of the route is quarantined. It is short because
/// harmless requests are delayed while the alarm is raised.
const ONE_CONTENT_ALARM_TIME: Duration = Duration::from_secs(15);
/// Time from the newest loss until an alarm ends, if several contents of the route are quarantined: more are expected.
/// A searcher is back some four seconds after it ended, so a crashing content that arrives each time the alarm ends
/// makes the searchers of a shard unavailable for less than 4 in 100 of the time.
const SEVERAL_CONTENTS_ALARM_TIME: Duration = Duration::from_secs(120);

/// The alarm of one route.
#[derive(Clone, Copy, Debug)]
struct RouteAlarm {
    newest_loss: BootTime,
    until: BootTime,
}

/// Alarms by route. There are at most as many as contents that the quarantine stores.
#[derive(Debug, Default)]
pub(super) struct RouteAlarms {
    alarms: BTreeMap<RouteDigest, RouteAlarm>,
}

impl RouteAlarms {
    /// Sets a route's alarm from the newest loss of each of its quarantined contents. Without any, the alarm is
    /// cleared.
    pub fn set(&mut self, route: RouteDigest, newest_losses: impl Iterator<Item = BootTime>) {
        let (count, newest) = newest_losses.fold((0, None), |(count, newest), at| (count + 1, newest.max(Some(at))));
        let duration = if count > 1 { SEVERAL_CONTENTS_ALARM_TIME } else { ONE_CONTENT_ALARM_TIME };
        match newest {
            Some(newest_loss) => self.alarms.insert(route, RouteAlarm { newest_loss, until: newest_loss + duration }),
            None => self.alarms.remove(&route),
        };
    }

    /// Returns the time since the newest loss behind a route's alarm, or `None` if the alarm isn't raised.
    pub fn age(&self, now: BootTime, route: RouteDigest) -> Option<Duration> {
        let alarm = self.alarms.get(&route).filter(|alarm| now < alarm.until)?;
        Some(now.since(alarm.newest_loss))
    }

    pub fn is_empty(&self) -> bool {
        self.alarms.is_empty()
    }

    /// Removes the alarms that have ended.
    pub fn remove_expired(&mut self, now: BootTime) {
        self.alarms.retain(|_, alarm| now < alarm.until);
    }
}
