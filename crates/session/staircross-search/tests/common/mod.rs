//! Fixtures that the tests of the root share.
#![allow(dead_code)]

pub mod root;
