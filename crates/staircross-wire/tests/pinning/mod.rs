//! Text form of messages for snapshots, which depends on their encoded bytes alone.

use crate::notation::{hex, notation};
use serde::Serialize;
use serde::de::DeserializeOwned;
use staircross_wire::frame::{decode, encode};

/// Returns a message's name, its diagnostic notation and its bytes. Checks that the bytes decode to the same message.
pub fn pin<T: Serialize + DeserializeOwned + PartialEq>(name: &str, message: &T) -> String {
    let bytes = encode(message).expect("encodes");
    let back: T = decode(&bytes).expect("decodes");
    assert!(back == *message, "{name}: read back as another message");
    format!("{name}\n{}\n{}\n", notation(&bytes), hex(&bytes))
}
