//! All error kinds, with the HTTP status and other properties of the answer to each.
//!
//! Every refusal that a caller receives has one of these kinds. Whether a refused request may have run is a property of
//! the kind, so that no two places in the code can state it differently.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a refused request may have run somewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Executed {
    /// The request has run nowhere and never will.
    Never,
    /// The request may have run, may be running, or may still run.
    Maybe,
}

macro_rules! error_kinds {
    ($($variant:ident, $name:literal, $status:literal, $executed:ident, $retry:expr, $meaning:literal;)*) => {
        /// Why a request was refused.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $(#[doc = $meaning] $variant,)*
        }

        impl ErrorKind {
            /// All kinds, in the order in which they are declared.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$variant,)*];

            /// Returns the name of the kind in answers, metrics and logs.
            pub fn name(self) -> &'static str {
                match self { $(ErrorKind::$variant => $name,)* }
            }

            /// Returns the HTTP status of the answer.
            pub fn http_status(self) -> u16 {
                match self { $(ErrorKind::$variant => $status,)* }
            }

            /// Returns whether the request may have run.
            pub fn executed(self) -> Executed {
                match self { $(ErrorKind::$variant => Executed::$executed,)* }
            }

            /// Returns the milliseconds after which the same request may succeed if it is sent again, or `None` if
            /// sending it again won't help.
            pub fn retry_after_ms(self) -> Option<u64> {
                match self { $(ErrorKind::$variant => $retry,)* }
            }

            /// Returns a description of the kind for people, in one line.
            pub fn meaning(self) -> &'static str {
                match self { $(ErrorKind::$variant => $meaning,)* }
            }
        }
    };
}

error_kinds! {
    BadSyntax, "bad_syntax", 400, Never, None, "The statement isn't in the language.";
    BadRequest, "bad_request", 400, Never, None, "The request is malformed: body, header, id or value.";
    TooLarge, "too_large", 413, Never, None, "The request is longer than the node accepts.";
    HeadTooLarge, "head_too_large", 431, Never, None, "The request's first line and fields are longer than the node accepts.";
    CallerTooSlow, "caller_too_slow", 408, Never, None, "The request did not arrive whole in time.";
    NotFound, "not_found", 404, Never, None, "No such resource.";
    UnknownSession, "unknown_session", 404, Never, None, "No session has this token; it was closed or its copies are lost.";
    SessionSought, "session_sought", 503, Never, Some(300), "Nodes that may hold the session haven't answered yet; it may well live.";
    UnknownService, "unknown_service", 404, Never, None, "No service has this name under the configuration in force.";
    NotRepeatable, "not_repeatable", 409, Never, None, "The service takes actions only with RUN and a ticket, or searches only with SEARCH.";
    BadTicket, "bad_ticket", 409, Never, None, "The ticket wasn't minted for this session.";
    PullInterrupted, "pull_interrupted", 409, Never, None, "The snapshot that the pages come from is gone; start the pull anew.";
    NoRoute, "no_route", 404, Never, None, "No route of the configuration in force has this host and path.";
    Unauthorized, "unauthorized", 401, Never, None, "The request carries no key that the configuration in force holds.";
    RevisionConflict, "revision_conflict", 409, Never, None, "The configuration changed since the revision that the change was based on.";
    InvalidConfiguration, "invalid_configuration", 422, Never, None, "The change would make the configuration invalid.";
    OverQuota, "over_quota", 429, Never, Some(1000), "The tenant has sent what it may over all nodes; the answer says when there will be room.";
    Overloaded, "overloaded", 503, Never, Some(250), "Refused early: the service has no room now.";
    TooManySessions, "too_many_sessions", 503, Never, Some(1000), "The node holds as many sessions as it may.";
    NoSnapshot, "no_snapshot", 503, Never, Some(500), "No snapshot of the service can be served at the least coverage.";
    NoConfiguration, "no_configuration", 503, Never, Some(600), "The node has started and knows no configuration yet.";
    NoReplica, "no_replica", 503, Never, Some(300), "Too few shards have a back end that can be asked; nothing was sent.";
    Unconfirmed, "configuration_unconfirmed", 503, Never, Some(1000), "The node can't confirm its configuration: it has been cut off for longer than keys may be taken by an old one, or its process stood still a moment ago. Another node may be able to.";
    NoReplicaYet, "no_replica_yet", 503, Never, Some(800), "Too few shards have a back end that is known yet: this node, or the list of back ends, has just come back.";
    NoAllowedReplica, "no_allowed_replica", 503, Never, Some(300), "Too few shards have a back end that can be asked in a region that the route and the tenant allow; nothing was sent.";
    Quarantined, "quarantined", 503, Never, Some(3_600_000), "Every back end that ran this request lately ended while it did; it isn't sent until an hour has passed.";
    Leaving, "leaving", 503, Never, Some(100), "The node is stopping; ask another.";
    NotDelivered, "not_delivered", 503, Never, Some(250), "Every back end asked said that it did not run the request.";
    CoverageTooLow, "coverage_too_low", 503, Maybe, Some(500), "Some shards answered, but fewer than the service accepts.";
    TimedOut, "timed_out", 504, Maybe, Some(250), "The wait bound passed before enough shards answered.";
    BackEndsFailed, "back_ends_failed", 502, Maybe, None, "Back ends that may have run the request failed, and no other may be asked.";
    OutcomeUnknown, "outcome_unknown", 502, Maybe, None, "The request may have run; ask for its outcome before doing it again.";
    Internal, "internal", 500, Maybe, None, "A fault of staircross itself.";
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Returns the table of all error kinds and their properties as Markdown, for the documentation.
pub fn error_table_markdown() -> String {
    let mut table =
        String::from("| kind | HTTP | executed | retry after | meaning |\n| --- | --- | --- | --- | --- |\n");
    for kind in ErrorKind::ALL {
        let executed = match kind.executed() {
            Executed::Never => "never",
            Executed::Maybe => "maybe",
        };
        let retry = kind.retry_after_ms().map_or("-".to_owned(), |delay| format!("{delay} ms"));
        table.push_str(&format!(
            "| `{}` | {} | {executed} | {retry} | {} |\n",
            kind.name(),
            kind.http_status(),
            kind.meaning()
        ));
    }
    table
}
