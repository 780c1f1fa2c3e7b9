//! Identifiers of nodes, sessions, requests, searchers and shards.
//!
//! Machines keep no state over a restart, so each run of a process gets a new identifier: a [`NodeId`] identifies one
//! run of a node, and a [`SearcherIncarnation`] one run of a searcher.

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
                let is_well_formed = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
                if !is_well_formed {
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
    /// Why a text can't be parsed as an identifier.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum InvalidIdentity {
        /// The text doesn't have the identifier's form: 32 hexadecimal digits, or for a [`Ticket`] 32 of them, a hyphen
        /// and 16 more.
        Malformed {
            display("expected 32 hexadecimal digits")
        }
    }
}

hex_identity! {
    /// Identifies one run of a node process: 128 random bits drawn when the process starts.
    NodeId
}
hex_identity! {
    /// Identifies one run of a searcher process: 128 random bits drawn when the process starts.
    SearcherIncarnation
}
hex_identity! {
    /// Identifies a session; it is hard to guess, so that callers can't use the sessions of others.
    SessionToken
}

/// Identifies one request of a caller; issued by the node that holds the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The node that issued this id.
    pub node: NodeId,
    /// The request's number on that node, counted up from 1 since the node started.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.node, self.sequence)
    }
}

/// Identifies one attempt at a sub-request. Each hop repeats the whole id in its reply, and the receiver of the reply
/// compares the whole id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request that this attempt serves.
    pub request: RequestId,
    /// The attempt's number, counted up from 1 within the request.
    pub attempt: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.request, self.attempt)
    }
}

/// Permits one non-repeatable request to run once; issued by the node that holds the session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The node that issued the ticket; no other node runs the ticket's request.
    pub node: NodeId,
    /// Random number that distinguishes the node's tickets.
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
        let is_well_formed = serial.len() == 16 && serial.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_well_formed {
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
            /// Creates the name from a text.
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
    /// Number of a searcher in the platform's service document; a restarted searcher keeps it.
    SearcherId
}
number_identity! {
    /// Number of a shard within its shard map.
    ShardId
}
number_identity! {
    /// Number of a group of searchers that are all owned by the same leaves (nodes that own searchers and call them).
    GroupId
}
