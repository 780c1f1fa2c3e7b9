//! The simulation and the journal for tests of pinned decisions.
#![allow(dead_code)]

pub mod journal;
pub mod world;
