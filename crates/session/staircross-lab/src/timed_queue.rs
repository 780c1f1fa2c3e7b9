//! A queue of events ordered by time. Events with equal times leave it in the order in which they were added.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

struct Entry<T, E> {
    at: T,
    order: u64,
    event: E,
}

impl<T: Ord, E> PartialEq for Entry<T, E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T: Ord, E> Eq for Entry<T, E> {}

impl<T: Ord, E> PartialOrd for Entry<T, E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T: Ord, E> Ord for Entry<T, E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (&self.at, self.order).cmp(&(&other.at, other.order))
    }
}

/// A priority queue of events, earliest first.
pub struct TimedQueue<T, E> {
    entries: BinaryHeap<Reverse<Entry<T, E>>>,
    next_order: u64,
}

impl<T: Ord + Copy, E> Default for TimedQueue<T, E> {
    fn default() -> Self {
        TimedQueue { entries: BinaryHeap::new(), next_order: 0 }
    }
}

impl<T: Ord + Copy, E> TimedQueue<T, E> {
    /// Adds an event that is due at `at`.
    pub fn push(&mut self, at: T, event: E) {
        self.next_order += 1;
        self.entries.push(Reverse(Entry { at, order: self.next_order, event }));
    }

    /// Removes and returns the earliest event with its time, if it is due at `end` or earlier.
    pub fn pop_due(&mut self, end: T) -> Option<(T, E)> {
        let is_due = self.entries.peek().is_some_and(|Reverse(entry)| entry.at <= end);
        if !is_due {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}
