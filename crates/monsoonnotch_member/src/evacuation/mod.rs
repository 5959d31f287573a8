//! The failure domains that operators are evacuating, as this member knows them.
//!
//! Each member reads the requests from the store, beside the configuration. Members also tell
//! each other on their links, since the leader may be cut off from the store while others are not.

use std::collections::BTreeSet;

use compact_str::CompactString;
use monsoonnotch_adapter::registry;
use monsoonnotch_adapter::registry::Evacuation;
use monsoonnotch_adapter::store::Newest;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::journal::KeyedRecord;
use serde::Deserialize;
use serde::Serialize;

use crate::cx::Cx;

/// The evacuated failure domains as of an offset.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Evacuations {
    /// Offset of the topic before which all requests are taken into account; zero if none was read.
    pub(crate) read_to: u64,
    /// The evacuated failure domains.
    pub(crate) domains: BTreeSet<CompactString>,
}

impl Evacuations {
    /// Returns the requests among the newest records of the topic.
    fn from_newest(newest: &Newest) -> Self {
        let mut evacuations = Self::default();
        for (offset, record) in &newest.records {
            evacuations.apply(*offset, record);
        }
        evacuations.read_to = newest.next;
        evacuations
    }

    /// Applies a record unless it is taken into account already; returns whether it is a request.
    fn apply(&mut self, offset: u64, record: &KeyedRecord) -> bool {
        let Some(evacuation) = registry::parse_evacuation(record) else {
            return false;
        };
        if offset >= self.read_to {
            self.read_to = offset + 1;
            match evacuation {
                Evacuation::Requested(domain) => self.domains.insert(domain),
                Evacuation::Withdrawn(domain) => self.domains.remove(&domain),
            };
        }
        true
    }
}

/// Replaces what is known by the newest records of the topic, unless something newer is known.
pub(crate) fn apply_newest(cx: &Cx, newest: &Newest) {
    merge(cx, Evacuations::from_newest(newest), "the store");
}

/// Applies a record of the topic; returns whether it requests or withdraws an evacuation.
pub(crate) fn apply_record(cx: &Cx, offset: u64, record: &KeyedRecord) -> bool {
    let mut evacuations = cx.evacuations.borrow().clone();
    let is_request = evacuations.apply(offset, record);
    if is_request {
        merge(cx, evacuations, "the store");
    }
    is_request
}

/// Takes over what another source knows if it has read further; `from` names the source in log
/// lines.
pub(crate) fn merge(cx: &Cx, newer: Evacuations, from: &str) {
    let mut changed = false;
    cx.evacuations.send_if_modified(|known| {
        if newer.read_to <= known.read_to {
            return false;
        }
        changed = known.domains != newer.domains;
        *known = newer.clone();
        changed
    });
    if !changed {
        return;
    }
    let domains: Vec<&str> = newer.domains.iter().map(CompactString::as_str).collect();
    log::info!(event = "evacuations changed", domains = domains.join(","), offset = newer.read_to, from = from; "the failure domains to evacuate changed");
    metrics::gauge!("monsoonnotch_evacuated_domains").set(newer.domains.len() as f64);
    if let Some(token) = cx.own_token() {
        cx.control.event(token, event(cx));
    }
}

/// Returns the event that tells the scheduler the evacuated failure domains.
pub(crate) fn event(cx: &Cx) -> Event {
    Event::Evacuations(cx.evacuations.borrow().domains.clone())
}
