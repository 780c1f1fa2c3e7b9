//! Format of a pull: the request in which a node says what it knows, and asks a peer for what it lacks.
//!
//! The revisions in the request target are counts. The epochs to which they belong are in the field [`EPOCHS_FIELD`],
//! which nodes of a build that knows no epochs neither send nor read.

use staircross_routing::{AcceptedConfiguration, PeerKnowledge, StoreEpoch, StoreRevision};

/// Field with the epochs of the revisions of searchers and of evacuations, separated by a comma; `-` for an untold one.
pub const EPOCHS_FIELD: &str = "Store-Epochs";
/// Prefix of the request target; the revision after which changes are wanted follows it.
const PREFIX: &str = "/changes?after=";
/// Parameter after the revision: the version of the configuration that the pulling node has.
const VERSION_PARAM: &str = "&version=";
/// Parameter after the version: the revision up to which the pulling node knows evacuations.
const EVACUATIONS_PARAM: &str = "&evacuations=";
/// Suffix of the target if the pulling node accepts a configuration of any size.
const ANY_SIZE_SUFFIX: &str = "&any-size";

/// Returns the request target of a pull.
pub fn target(known: &PeerKnowledge) -> String {
    let PeerKnowledge { revision, version, evacuations, accepts } = known;
    let any_size = if *accepts == AcceptedConfiguration::Any { ANY_SIZE_SUFFIX } else { "" };
    format!("{PREFIX}{revision}{VERSION_PARAM}{version}{EVACUATIONS_PARAM}{evacuations}{any_size}")
}

/// Returns the value of [`EPOCHS_FIELD`]; `None` if no epoch is told.
pub fn epochs(known: &PeerKnowledge) -> Option<String> {
    let (searchers, evacuations) = (known.revision.epoch, known.evacuations.epoch);
    let are_untold = searchers.is_untold() && evacuations.is_untold();
    (!are_untold).then(|| format!("{searchers},{evacuations}"))
}

/// Parses a pull; returns what the peer knows already, or `None` if the target or the field is malformed. Revisions
/// without an epoch count as of `assumed`.
pub fn parse(target: &str, epochs: Option<&str>, assumed: StoreEpoch) -> Option<PeerKnowledge> {
    let (revision, rest) = target.strip_prefix(PREFIX)?.split_once(VERSION_PARAM)?;
    let (rest, accepts) = match rest.strip_suffix(ANY_SIZE_SUFFIX) {
        Some(rest) => (rest, AcceptedConfiguration::Any),
        None => (rest, AcceptedConfiguration::Small),
    };
    let (version, evacuations) = rest.split_once(EVACUATIONS_PARAM)?;
    let (searchers_epoch, evacuations_epoch) = match epochs {
        Some(text) => text.split_once(',')?,
        None => ("-", "-"),
    };
    Some(PeerKnowledge {
        revision: parse_revision(searchers_epoch, revision)?.assuming_epoch(assumed),
        version: version.parse().ok()?,
        evacuations: parse_revision(evacuations_epoch, evacuations)?.assuming_epoch(assumed),
        accepts,
    })
}

fn parse_revision(epoch: &str, count: &str) -> Option<StoreRevision> {
    let epoch = match epoch {
        "-" => StoreEpoch::UNTOLD,
        number => StoreEpoch::new(number.parse().ok()?),
    };
    Some(StoreRevision::new(epoch, count.parse().ok()?))
}
