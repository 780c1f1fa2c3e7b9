//! The query and command language: parses text into typed statements.
//!
//! | module | holds |
//! | --- | --- |
//! | [`statement`] | the typed statements |
//! | [`parse`] | the parser, which follows the grammar in `grammar.pest` |
//! | [`error`] | the error that names the line, the column, what was found and what was expected |

pub mod error;
pub mod parse;
pub mod statement;

pub use error::LanguageError;
pub use parse::parse_statement;
pub use statement::{ConfigStatement, PullStatement, RunStatement, SearchStatement, ShowStatement, Statement};
