//! Text forms of bytes: hexadecimal, and the diagnostic notation of CBOR.

use ciborium::Value;
use std::fmt::Write;

/// Renders bytes in hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Renders CBOR bytes in the usual diagnostic notation.
pub fn notation(bytes: &[u8]) -> String {
    let value: Value = ciborium::from_reader(bytes).expect("is CBOR");
    let mut text = String::new();
    write_value(&mut text, &value);
    text
}

fn write_value(text: &mut String, value: &Value) {
    match value {
        Value::Integer(number) => text.push_str(&i128::from(*number).to_string()),
        Value::Bytes(bytes) => write!(text, "h'{}'", hex(bytes)).expect("writes"),
        Value::Float(number) => write!(text, "{number:?}").expect("writes"),
        Value::Text(string) => write!(text, "{string:?}").expect("writes"),
        Value::Bool(flag) => text.push_str(&flag.to_string()),
        Value::Null => text.push_str("null"),
        Value::Array(items) => {
            text.push('[');
            for (index, item) in items.iter().enumerate() {
                text.push_str(if index > 0 { ", " } else { "" });
                write_value(text, item);
            }
            text.push(']');
        }
        Value::Map(entries) => {
            text.push('{');
            for (index, (key, item)) in entries.iter().enumerate() {
                text.push_str(if index > 0 { ", " } else { "" });
                write_value(text, key);
                text.push_str(": ");
                write_value(text, item);
            }
            text.push('}');
        }
        Value::Tag(tag, inner) => {
            write!(text, "{tag}(").expect("writes");
            write_value(text, inner);
            text.push(')');
        }
        _ => panic!("a kind of value that no message has"),
    }
}
