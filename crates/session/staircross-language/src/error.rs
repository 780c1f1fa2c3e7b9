//! Syntax errors that name the place, what was found and what was expected.

use quick_error::quick_error;

quick_error! {
    /// Why a text is no statement. Lines and columns count from one.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LanguageError {
        /// The grammar doesn't allow what stands at this place.
        Syntax { line: usize, column: usize, found: String, expected: Vec<String> } {
            display("line {line}, column {column}: found {found}, expected {}", expected.join(" or "))
        }
        /// A value is outside what is allowed.
        Value { line: usize, column: usize, found: String, allowed: String } {
            display("line {line}, column {column}: found {found}, allowed {allowed}")
        }
    }
}
