//! The query and command language.
//!
//! | module | holds |
//! | --- | --- |
//! | [`statement`] | typed statements |
//! | [`parse`] | text to statement, by the grammar in `grammar.pest` |
//! | [`error`] | the error with line, column, what was found and what was expected |

pub mod error;
pub mod parse;
pub mod statement;

pub use error::LanguageError;
pub use parse::parse_statement;
pub use statement::{ConfigStatement, PullStatement, RunStatement, SearchStatement, ShowStatement, Statement};
