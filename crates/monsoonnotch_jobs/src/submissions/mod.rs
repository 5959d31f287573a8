//! Submissions that wait to be stored, first come, first served.
//!
//! One append is under way at a time, and the next one carries as many submissions as its size
//! allows. While the store is slow, more arrive than it stores. A submission whose turn comes too
//! late for its caller is refused as soon as that is known: it was not sent, so the refusal can say
//! that it has not run, and the caller can come back while its request still counts.

use std::collections::VecDeque;

use monsoonnotch_core::time::Duration;
use monsoonnotch_core::time::Time;

/// The submissions that wait; `T` is what the caller keeps of each.
#[derive(Debug)]
pub struct Submissions<T> {
    waiting: VecDeque<Waiting<T>>,
}

/// A submission that waits.
#[derive(Debug)]
pub struct Waiting<T> {
    /// What the caller keeps of it.
    pub item: T,
    /// Its size in an append, in bytes.
    pub bytes: usize,
    /// When its caller must have a response.
    pub deadline: Time,
}

/// What the next appends are expected to take.
#[derive(Debug, Clone, Copy)]
pub struct Forecast {
    /// Time until the append under way has ended; zero if there is none.
    pub busy: Duration,
    /// Time of one append.
    pub append: Duration,
    /// Size at which no further record is added to an append, in bytes.
    pub bytes_max: usize,
}

impl<T> Default for Submissions<T> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
        }
    }
}

impl<T> Submissions<T> {
    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a submission behind all others.
    pub fn push(&mut self, submission: Waiting<T>) {
        self.waiting.push_back(submission);
    }

    /// Puts submissions back in front of all others, in their order.
    pub fn put_back(&mut self, submissions: Vec<Waiting<T>>) {
        for submission in submissions.into_iter().rev() {
            self.waiting.push_front(submission);
        }
    }

    /// Removes and returns the submissions that no append can store before their deadline.
    pub fn take_hopeless(&mut self, now: Time, forecast: Forecast) -> Vec<Waiting<T>> {
        let mut hopeless = Vec::new();
        let mut kept = VecDeque::with_capacity(self.waiting.len());
        let mut stored_at = now + forecast.busy + forecast.append;
        let mut bytes = 0;
        for submission in self.waiting.drain(..) {
            if bytes >= forecast.bytes_max {
                bytes = 0;
                stored_at = stored_at + forecast.append;
            }
            if submission.deadline < stored_at {
                hopeless.push(submission);
                continue;
            }
            bytes += submission.bytes;
            kept.push_back(submission);
        }
        self.waiting = kept;
        hopeless
    }

    /// Removes and returns the submissions of the next append, at most `count_max`.
    pub fn next_batch(&mut self, bytes_max: usize, count_max: usize) -> Vec<Waiting<T>> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        while batch.len() < count_max
            && bytes < bytes_max
            && let Some(submission) = self.waiting.pop_front()
        {
            bytes += submission.bytes;
            batch.push(submission);
        }
        batch
    }
}
