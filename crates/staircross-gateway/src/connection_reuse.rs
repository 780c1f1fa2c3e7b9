//! Whether connections to a server may carry more than one request.
//!
//! | input | source |
//! | --- | --- |
//! | an answer that can be read in two ways, and whether it was believed | [`staircross_http::client`] |
//! | the time | the caller |
//!
//! Such an answer is believed only on a connection on which nothing has arrived before.
//!
//! The rule: after such an answer, connections carry one request each for a while. This protects whole answers, which
//! would have to be dropped on connections in use, and requests that must not be repeated. It costs one connection per
//! request. The log line `reuse_ended` says when it begins to hold for a service.

use staircross_types::BootTime;
use std::time::Duration;

/// Time for which it is remembered that a server sends status lines in fields. One answer may have to be dropped each
/// time that this ends.
const CERTAIN_MEMORY: Duration = Duration::from_secs(600);
/// Time for which a dropped answer is remembered. It may have been the mistake of a single searcher, for which all pay.
const DOUBTFUL_MEMORY: Duration = Duration::from_secs(30);

/// What an ambiguous answer shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The answer came on a fresh connection: it is whole, and the server sends status lines in fields.
    Certain,
    /// The answer came on a connection in use: either that, or the server sent the beginning of another answer.
    Doubtful,
}

impl Evidence {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Evidence::Certain => "certain",
            Evidence::Doubtful => "doubtful",
        }
    }
}

/// The rule's state for one server, or for all searchers of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionReuse {
    forbidden_until: BootTime,
}

impl ConnectionReuse {
    /// Records an ambiguous answer. Returns whether connections could be reused until now.
    pub fn note_ambiguous(&mut self, evidence: Evidence, now: BootTime) -> bool {
        let was_allowed = self.is_allowed(now);
        let memory = match evidence {
            Evidence::Certain => CERTAIN_MEMORY,
            Evidence::Doubtful => DOUBTFUL_MEMORY,
        };
        self.forbidden_until = self.forbidden_until.max(now + memory);
        was_allowed
    }

    /// Returns whether a connection may carry a further request.
    pub fn is_allowed(&self, now: BootTime) -> bool {
        now >= self.forbidden_until
    }
}
