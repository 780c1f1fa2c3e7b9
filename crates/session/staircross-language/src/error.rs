//! Errors of the parser, with the line, the column, what was found and what was expected.

use quick_error::quick_error;

quick_error! {
    /// Why a text is not a valid statement. Lines and columns are counted from one.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LanguageError {
        /// The grammar doesn't allow the text found at this place.
        Syntax { line: usize, column: usize, found: String, expected: Vec<String> } {
            display("line {line}, column {column}: found {found}, expected {}", expected.join(" or "))
        }
        /// The value found at this place is not allowed.
        Value { line: usize, column: usize, found: String, allowed: String } {
            display("line {line}, column {column}: found {found}, allowed {allowed}")
        }
    }
}
