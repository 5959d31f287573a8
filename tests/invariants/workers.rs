//! The state of simulated workers: the requests that run and the highest epoch received.

use monsoonnotch_core::event::Report;
use monsoonnotch_core::event::VmInfo;
use monsoonnotch_core::ident::CallKey;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::resource::Resources;

/// Number of slots of a worker.
const SLOTS: u64 = 4;

/// A request in progress.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) id: u64,
    pub(crate) team: Name,
    /// Index of the process that wrote the request.
    pub(crate) process: usize,
    pub(crate) call: CallKey,
    /// Incarnation of the process that wrote the request.
    pub(crate) incarnation: u32,
    /// Whether the connection is cut before the request ends.
    pub(crate) cut: bool,
}

/// A simulated worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) info: VmInfo,
    pub(crate) runs: Vec<Run>,
    /// The highest epoch received.
    epoch: u64,
}

impl Worker {
    /// Returns the worker with index `n`, which runs nothing.
    pub(crate) fn new(n: usize) -> Self {
        let name: Name = format!("vm-{n}").into();
        let total = Resources {
            slots: SLOTS,
            connections: SLOTS * 2,
            ..Resources::default()
        };
        let info = VmInfo {
            addr: name.clone(),
            name,
            domain: format!("fd-{}", n % 3).into(),
            rack: "rack".into(),
            total,
            leaving: false,
        };
        Self {
            info,
            runs: Vec::new(),
            epoch: 0,
        }
    }

    /// Handles a sync; returns a report, or `None` if the epoch is lower than one received before.
    pub(crate) fn sync(&mut self, epoch: u64, age_ms: u64) -> Option<Report> {
        if epoch < self.epoch {
            return None;
        }
        self.epoch = epoch;
        Some(Report {
            age_ms,
            requests: u32::try_from(self.runs.len()).expect("few runs"),
            ..Report::default()
        })
    }

    /// Returns whether more requests run than the worker has slots.
    pub(crate) fn exceeds_slots(&self) -> bool {
        self.runs.len() as u64 > SLOTS
    }
}
