//! Helpers for tests of encoded forms, which are written as JSON text and compared as CBOR bytes.
//!
//! Strings such as `h'0a0b'` stand for bytes. Nothing in this module names a Rust type or field.
#![allow(dead_code)]

use ciborium::Value;
use serde::Serialize;
use serde::de::DeserializeOwned;
use staircross_wire::frame::{decode, encode};
use std::fmt::Write;

/// Returns the CBOR bytes of a form that is given as JSON text.
pub fn bytes_of(form: &str) -> Vec<u8> {
    let value: Value = serde_json::from_str(form).unwrap_or_else(|error| panic!("{error} in {form}"));
    encode(&parse_byte_strings(value)).expect("a value is encoded")
}

/// Returns encoded bytes as one line of text.
pub fn diagnostic(bytes: &[u8]) -> String {
    let mut text = String::new();
    write_value(&decode::<Value>(bytes).expect("CBOR"), &mut text);
    text
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub fn from_hex(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

/// Decodes each form as a `T`, encodes it again and checks that the bytes are the same. Returns the forms as text for a
/// snapshot.
pub fn pin<T: Serialize + DeserializeOwned>(forms: &[&str]) -> String {
    let mut text = String::new();
    for form in forms {
        let bytes = bytes_of(form);
        let written = reencode::<T>(&bytes);
        assert_eq!(diagnostic(&written), diagnostic(&bytes), "the decoded value is encoded in another form");
        assert_eq!(written, bytes, "{form}");
        append_form(&mut text, &written);
    }
    text
}

/// Decodes forms that lack optional fields as a `T`, encodes them again and returns the result as text for a snapshot.
pub fn pin_sparse<T: Serialize + DeserializeOwned>(forms: &[&str]) -> String {
    let mut text = String::new();
    for form in forms {
        append_form(&mut text, &reencode::<T>(&bytes_of(form)));
    }
    text
}

fn reencode<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Vec<u8> {
    let read: T = decode(bytes).unwrap_or_else(|error| panic!("{error} in {}", diagnostic(bytes)));
    encode(&read).expect("the value is encoded")
}

fn append_form(text: &mut String, bytes: &[u8]) {
    writeln!(text, "{}\n  {}", diagnostic(bytes), hex(bytes)).expect("writing to a string succeeds");
}

fn parse_byte_strings(value: Value) -> Value {
    match value {
        Value::Text(text) => match text.strip_prefix("h'").and_then(|rest| rest.strip_suffix('\'')) {
            Some(digits) => Value::Bytes(from_hex(digits)),
            None => Value::Text(text),
        },
        Value::Array(items) => Value::Array(items.into_iter().map(parse_byte_strings).collect()),
        Value::Map(entries) => {
            Value::Map(entries.into_iter().map(|(key, value)| (key, parse_byte_strings(value))).collect())
        }
        other => other,
    }
}

fn write_value(value: &Value, text: &mut String) {
    match value {
        Value::Array(items) => write_all(text, ['[', ']'], items.iter(), write_value),
        Value::Map(entries) => write_all(text, ['{', '}'], entries.iter(), |(key, value), text| {
            write_value(key, text);
            text.push_str(": ");
            write_value(value, text);
        }),
        Value::Bytes(bytes) => text.push_str(&format!("h'{}'", hex(bytes))),
        Value::Text(string) => text.push_str(&format!("{string:?}")),
        Value::Integer(number) => text.push_str(&i128::from(*number).to_string()),
        Value::Float(number) => text.push_str(&format!("{number:?}")),
        Value::Bool(flag) => text.push_str(&flag.to_string()),
        Value::Null => text.push_str("null"),
        other => panic!("unexpected CBOR value {other:?}"),
    }
}

fn write_all<T>(
    text: &mut String,
    [open, close]: [char; 2],
    items: impl Iterator<Item = T>,
    write: impl Fn(T, &mut String),
) {
    text.push(open);
    for (index, item) in items.enumerate() {
        text.push_str(if index == 0 { "" } else { ", " });
        write(item, text);
    }
    text.push(close);
}
