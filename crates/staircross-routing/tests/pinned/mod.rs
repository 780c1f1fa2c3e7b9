//! What the drives of pinned decisions are made of.
#![allow(dead_code)]

pub mod journal;
pub mod world;
