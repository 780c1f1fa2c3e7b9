//! Messages as text that depends on their encoded bytes alone.

use crate::notation::{hex, notation};
use serde::Serialize;
use serde::de::DeserializeOwned;
use staircross_wire::frame::{decode, encode};

/// A message's name, its tree and its bytes; checks that the bytes are read back as the same message.
pub fn pin<T: Serialize + DeserializeOwned + PartialEq>(name: &str, message: &T) -> String {
    let bytes = encode(message).expect("encodes");
    let back: T = decode(&bytes).expect("decodes");
    assert!(back == *message, "{name}: read back as another message");
    format!("{name}\n{}\n{}\n", notation(&bytes), hex(&bytes))
}
