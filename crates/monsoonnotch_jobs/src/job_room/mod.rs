//! Room for further jobs in the leader's memory.
//!
//! A job is in the leader's memory from when it is stored until its state need not be told any more. Its
//! place is taken before it is stored. The scheduler counts the jobs that it knows; a job that is being
//! stored, or is stored and not read yet, counts here.
//!
//! No job takes more than a part of what is free. So a few large jobs leave room to many small ones.

use std::collections::BTreeMap;

/// Part of the free memory that one job may take, as a divisor.
const FREE_DIVISOR: u64 = 4;

/// What jobs may take of the leader's memory, and what those take that the scheduler doesn't know yet.
#[derive(Debug)]
pub struct JobRoom {
    /// Memory for all jobs, in bytes.
    limit: u64,
    /// Memory of the jobs that are being stored, in bytes.
    storing: u64,
    /// Memory of the jobs that are stored, by the offset of their records.
    stored: BTreeMap<u64, u64>,
}

/// What the scheduler knows.
#[derive(Debug, Clone, Copy, Default)]
pub struct Known {
    /// Memory that its jobs take, in bytes.
    pub memory: u64,
    /// Offset before which it knows all records.
    pub read_to: u64,
}

impl JobRoom {
    /// Creates room of `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Self {
            limit,
            storing: 0,
            stored: BTreeMap::new(),
        }
    }

    /// Takes the place of a job before it is stored; returns whether there is room for it.
    pub fn take(&mut self, memory: u64, known: Known) -> bool {
        self.stored = self.stored.split_off(&known.read_to);
        let unread: u64 = self.stored.values().sum();
        let taken = known.memory + self.storing + unread;
        let has_room = memory <= self.limit.saturating_sub(taken) / FREE_DIVISOR;
        if has_room {
            self.storing += memory;
        }
        has_room
    }

    /// Keeps the place of a job that is stored until the scheduler knows it.
    pub fn keep(&mut self, memory: u64, offset: u64) {
        self.give_back(memory);
        self.stored.insert(offset, memory);
    }

    /// Gives back the place of a job that is not stored.
    pub fn give_back(&mut self, memory: u64) {
        self.storing = self.storing.saturating_sub(memory);
    }
}
