//! Identities.
//!
//! Everything that is restarted gets a new identity, because no machine keeps anything:
//! a [`NodeId`] names one run of a node process, a [`SearcherIncarnation`] one run of a searcher.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

macro_rules! hex_identity {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:032x}", self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = InvalidIdentity;

            fn from_str(text: &str) -> Result<Self, InvalidIdentity> {
                let well_formed = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
                if !well_formed {
                    return Err(InvalidIdentity::Malformed);
                }
                let value = u128::from_str_radix(text, 16).map_err(|_| InvalidIdentity::Malformed)?;
                Ok($name(value))
            }
        }

        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    serializer.collect_str(self)
                } else {
                    serializer.serialize_bytes(&self.0.to_be_bytes())
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if deserializer.is_human_readable() {
                    let text = String::deserialize(deserializer)?;
                    return text.parse().map_err(serde::de::Error::custom);
                }
                deserializer.deserialize_bytes(IdentityBytes).map(|value| $name(value))
            }
        }
    };
}

struct IdentityBytes;

impl serde::de::Visitor<'_> for IdentityBytes {
    type Value = u128;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("16 bytes")
    }

    fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<u128, E> {
        let array = bytes.try_into().map_err(|_| E::invalid_length(bytes.len(), &self))?;
        Ok(u128::from_be_bytes(array))
    }
}

quick_error! {
    /// Why a text is no identity.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum InvalidIdentity {
        /// The text isn't 32 hexadecimal digits.
        Malformed {
            display("expected 32 hexadecimal digits")
        }
    }
}

hex_identity! {
    /// One run of a node process (128 random bits drawn at its start).
    NodeId
}
hex_identity! {
    /// One run of a searcher process (128 random bits drawn at its start).
    SearcherIncarnation
}
hex_identity! {
    /// The unguessable name of a session.
    SessionToken
}

/// One caller's request: minted by the node that holds the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The node that minted this id.
    pub node: NodeId,
    /// Counts up from one during the node's life.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.node, self.sequence)
    }
}

/// One sending of one sub-request; echoed by each hop and compared in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request that this attempt serves.
    pub request: RequestId,
    /// Counts up from one within the request.
    pub attempt: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.request, self.attempt)
    }
}

/// Leave to run one non-repeatable request once; minted by the node that holds the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The node that minted the ticket; no other node runs it.
    pub node: NodeId,
    /// Random part.
    pub serial: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{:016x}", self.node, self.serial)
    }
}

impl FromStr for Ticket {
    type Err = InvalidIdentity;

    fn from_str(text: &str) -> Result<Self, InvalidIdentity> {
        let (node, serial) = text.split_once('-').ok_or(InvalidIdentity::Malformed)?;
        let well_formed = serial.len() == 16 && serial.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !well_formed {
            return Err(InvalidIdentity::Malformed);
        }
        let serial = u64::from_str_radix(serial, 16).map_err(|_| InvalidIdentity::Malformed)?;
        Ok(Ticket { node: node.parse()?, serial })
    }
}

macro_rules! name_identity {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Builds the name from a text.
            pub fn new(name: impl Into<String>) -> Self {
                $name(name.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_identity! {
    /// The name of a service.
    ServiceName
}
name_identity! {
    /// The name of a zone.
    ZoneName
}

macro_rules! number_identity {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u32);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

number_identity! {
    /// A searcher as the platform document numbers it; keeps its number over restarts.
    SearcherId
}
number_identity! {
    /// A shard within its shard map.
    ShardId
}
number_identity! {
    /// A group of searchers that one set of leaves owns.
    GroupId
}
