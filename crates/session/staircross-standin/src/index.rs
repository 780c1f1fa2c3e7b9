//! Inverted index of a snapshot's shards, with term search and scoring.

use crate::corpus::{Corpus, Document};
use staircross_types::query::shard_of;
use staircross_types::{Hit, SearchQuery, ShardHits, ShardId};
use std::collections::{BTreeMap, HashMap};

/// Entry of a posting list: a document and the number of times that the term occurs in it.
#[derive(Clone, Copy, Debug)]
struct Posting {
    document: u32,
    count: u32,
}

/// Index of one shard.
#[derive(Default)]
pub struct ShardIndex {
    documents: Vec<Document>,
    lengths: Vec<u32>,
    postings: HashMap<String, Vec<Posting>>,
}

/// Indexes of all shards of one snapshot that a searcher holds.
#[derive(Default)]
pub struct SnapshotIndex {
    shards: BTreeMap<ShardId, ShardIndex>,
}

/// Splits a text into lower-case terms.
pub fn tokenize(text: &str) -> impl Iterator<Item = String> + '_ {
    text.split(|character: char| !character.is_alphanumeric()).filter(|term| !term.is_empty()).map(str::to_lowercase)
}

impl SnapshotIndex {
    /// Indexes the documents of `corpus` that belong to the shards in `held`. The snapshot has `shard_count` shards.
    pub fn build(corpus: &Corpus, held: &[ShardId], shard_count: usize) -> Self {
        let mut shards: BTreeMap<ShardId, ShardIndex> =
            held.iter().map(|shard| (*shard, ShardIndex::default())).collect();
        for document in &corpus.documents {
            let shard = shard_of(&document.id, shard_count);
            if let Some(index) = shards.get_mut(&shard) {
                index.add(document.clone());
            }
        }
        shards.values_mut().for_each(ShardIndex::sort_and_index);
        SnapshotIndex { shards }
    }

    /// Searches one shard. Returns `None` if the shard isn't held.
    pub fn search(&self, shard: ShardId, query: &SearchQuery) -> Option<ShardHits> {
        self.shards.get(&shard).map(|index| index.search(shard, query))
    }

    /// Returns whether this index holds the shard.
    pub fn holds(&self, shard: ShardId) -> bool {
        self.shards.contains_key(&shard)
    }
}

impl ShardIndex {
    fn add(&mut self, document: Document) {
        self.documents.push(document);
    }

    /// Sorts the documents by id, which is the order that pulls need, and builds the posting lists.
    fn sort_and_index(&mut self) {
        self.documents.sort_by(|left, right| left.id.cmp(&right.id));
        for (number, document) in self.documents.iter().enumerate() {
            let mut counts: HashMap<String, u32> = HashMap::new();
            let text = format!("{} {}", document.title, document.body);
            let mut length = 0;
            for term in tokenize(&text) {
                *counts.entry(term).or_default() += 1;
                length += 1;
            }
            self.lengths.push(length);
            for (term, count) in counts {
                self.postings.entry(term).or_default().push(Posting { document: number as u32, count });
            }
        }
    }

    fn search(&self, shard: ShardId, query: &SearchQuery) -> ShardHits {
        let mut scores: Vec<(u32, f32)> = match query.terms.split_first() {
            None => (0..self.documents.len() as u32).map(|number| (number, 0.0)).collect(),
            Some((first, rest)) => {
                let start = self.term_scores(first).collect();
                rest.iter().fold(start, |candidates, term| self.intersect(candidates, term))
            }
        };
        let matched = scores.len() as u64;
        match &query.after {
            Some(after) => scores.retain(|(number, _)| {
                (shard, self.documents[*number as usize].id.as_str()) > (after.shard, after.document.as_str())
            }),
            None => scores.sort_by(|left, right| right.1.total_cmp(&left.1).then(left.0.cmp(&right.0))),
        }
        scores.truncate(query.limit as usize);
        let hits = scores.into_iter().map(|(number, score)| self.hit(shard, number, score)).collect();
        ShardHits { shard, matched, hits }
    }

    /// Returns the documents that contain a term, each with its score.
    ///
    /// The score rises less than proportionally with the term's frequency in the document, and falls with the
    /// document's length. Rare terms have more weight.
    fn term_scores<'a>(&'a self, term: &str) -> impl Iterator<Item = (u32, f32)> + 'a {
        let postings = self.postings.get(term).map_or(&[][..], Vec::as_slice);
        let rarity = (1.0 + self.documents.len() as f32 / (1.0 + postings.len() as f32)).ln();
        postings.iter().map(move |posting| {
            let length = self.lengths[posting.document as usize] as f32;
            let frequency = posting.count as f32 / (posting.count as f32 + 0.5 + length / 100.0);
            (posting.document, rarity * frequency)
        })
    }

    fn intersect(&self, candidates: Vec<(u32, f32)>, term: &str) -> Vec<(u32, f32)> {
        let scores: HashMap<u32, f32> = self.term_scores(term).collect();
        candidates
            .into_iter()
            .filter_map(|(number, score)| scores.get(&number).map(|term_score| (number, score + term_score)))
            .collect()
    }

    fn hit(&self, shard: ShardId, number: u32, score: f32) -> Hit {
        let document = &self.documents[number as usize];
        Hit { document: document.id.clone(), shard, score, title: document.title.clone() }
    }
}
