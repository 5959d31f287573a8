//! Workers as plain state: what runs, and the newest epoch seen.

use monsoonnotch_core::event::Report;
use monsoonnotch_core::event::VmInfo;
use monsoonnotch_core::ident::CallKey;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::resource::Resources;

/// Slots of a worker.
const SLOTS: u64 = 4;

/// A request in progress.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) id: u64,
    pub(crate) team: Name,
    pub(crate) process: usize,
    pub(crate) call: CallKey,
    /// The start of the process that wrote it.
    pub(crate) start: u32,
    /// Whether its connection is cut before it ends.
    pub(crate) cut: bool,
}

/// A worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) info: VmInfo,
    pub(crate) runs: Vec<Run>,
    epoch: u64,
}

impl Worker {
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

    /// A report, unless the epoch is older than one that was seen.
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

    pub(crate) fn is_over_full(&self) -> bool {
        self.runs.len() as u64 > SLOTS
    }
}
