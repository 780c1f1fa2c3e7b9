//! The memory of all replies of searchers that are being read, which is bounded.
//!
//! [`ReplyMemory`] hands out blocks of equal size and takes them back, and [`ReplyBuffer`] is a reply in such blocks.
//! While all blocks are in use, only short replies are read, so that a searcher that sends without end ends its own calls
//! and not those of others.
//!
//! Blocks are kept for the next replies. Each call is read by a thread of its own, and the allocator would keep for
//! each thread as much as its longest reply took.

use quick_error::quick_error;
use serde::de::DeserializeOwned;
use staircross_types::digest_of_parts;
use std::io::{self, Read};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Size of a block in bytes. Most replies fit into one.
const BLOCK_BYTES: usize = 32 * 1024;
/// Number of blocks that each reply gets, also while all are in use.
const GUARANTEED_BLOCKS: usize = 4;

quick_error! {
    /// Why a reply couldn't be read.
    #[derive(Debug)]
    pub enum ReadReplyError {
        /// Reading from the connection failed.
        Io(error: io::Error) {
            from()
            display("connection: {error}")
        }
        /// All replies together use the memory that they may, and this one more than a short one needs.
        OutOfMemory { held_bytes: usize } {
            display("no memory is left for replies, and this one has {held_bytes} bytes")
        }
    }
}

type Block = Box<[u8]>;

#[derive(Debug, Default)]
struct Blocks {
    free: Vec<Block>,
    in_use: usize,
}

/// The blocks of all replies.
#[derive(Debug)]
pub struct ReplyMemory {
    max_blocks: usize,
    blocks: Mutex<Blocks>,
}

impl ReplyMemory {
    /// Creates memory of `max_bytes` bytes, beyond which only short replies are read.
    pub fn new(max_bytes: usize) -> Arc<ReplyMemory> {
        Arc::new(ReplyMemory { max_blocks: max_bytes / BLOCK_BYTES, blocks: Mutex::default() })
    }

    /// Returns the number of bytes that are in use.
    pub fn bytes_in_use(&self) -> usize {
        self.lock().in_use * BLOCK_BYTES
    }

    /// Blocks are whole also if a thread panicked while it held the lock.
    fn lock(&self) -> MutexGuard<'_, Blocks> {
        self.blocks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a block for a buffer that holds `held` blocks, or `None` if it may not grow.
    fn take(&self, held: usize) -> Option<Block> {
        let mut blocks = self.lock();
        if blocks.in_use >= self.max_blocks && held >= GUARANTEED_BLOCKS {
            return None;
        }
        blocks.in_use += 1;
        Some(blocks.free.pop().unwrap_or_else(|| vec![0; BLOCK_BYTES].into_boxed_slice()))
    }

    fn give_back(&self, taken: Vec<Block>) {
        let mut blocks = self.lock();
        blocks.in_use -= taken.len();
        let kept = self.max_blocks.saturating_sub(blocks.free.len());
        blocks.free.extend(taken.into_iter().take(kept));
    }
}

/// A reply, or the part of it that has been read. It gives its blocks back when it is dropped.
#[derive(Debug)]
pub struct ReplyBuffer {
    memory: Arc<ReplyMemory>,
    blocks: Vec<Block>,
    /// Number of bytes that have been read. All blocks but the last are full.
    len: usize,
}

impl ReplyBuffer {
    /// Creates an empty buffer.
    pub fn new(memory: &Arc<ReplyMemory>) -> ReplyBuffer {
        ReplyBuffer { memory: memory.clone(), blocks: Vec::new(), len: 0 }
    }

    /// Reads until the end of `reader`.
    ///
    /// # Errors
    ///
    /// Returns an error if reading fails or the buffer may not grow.
    pub fn read_to_end(&mut self, reader: &mut impl Read) -> Result<(), ReadReplyError> {
        loop {
            let filled = self.len % BLOCK_BYTES;
            if self.len == self.blocks.len() * BLOCK_BYTES {
                let held = self.blocks.len();
                let block = self.memory.take(held);
                self.blocks.push(block.ok_or(ReadReplyError::OutOfMemory { held_bytes: self.len })?);
            }
            let Some(last) = self.blocks.last_mut() else {
                return Ok(());
            };
            match reader.read(&mut last[filled..]) {
                Ok(0) => return Ok(()),
                Ok(count) => self.len += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Returns the digest of what has been read.
    pub fn digest(&self) -> String {
        digest_of_parts(self.parts())
    }

    /// Parses what has been read as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if it isn't JSON of this type.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        match &self.blocks[..] {
            [only] => serde_json::from_slice(&only[..self.len]),
            _ => serde_json::from_reader(PartReader { parts: self.parts(), rest: &[] }),
        }
    }

    fn parts(&self) -> impl Iterator<Item = &[u8]> {
        let last = self.blocks.len().saturating_sub(1);
        self.blocks
            .iter()
            .enumerate()
            .map(move |(index, block)| if index == last { &block[..self.len - last * BLOCK_BYTES] } else { &block[..] })
    }
}

impl Drop for ReplyBuffer {
    fn drop(&mut self) {
        self.memory.give_back(std::mem::take(&mut self.blocks));
    }
}

/// Reads several slices one after the other.
struct PartReader<'a, I> {
    parts: I,
    rest: &'a [u8],
}

impl<'a, I: Iterator<Item = &'a [u8]>> Read for PartReader<'a, I> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.rest.is_empty() {
            match self.parts.next() {
                Some(part) => self.rest = part,
                None => return Ok(0),
            }
        }
        self.rest.read(buffer)
    }
}
