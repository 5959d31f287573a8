//! The listeners of an entry, and what the clients of each may take of its VM.

use std::net::SocketAddr;

use monsoonnotch_core::notice::Notice;
use monsoonnotch_ingress::limits::LINK_RECEIVE_BUFFER_BYTES;
use monsoonnotch_ingress::limits::MIB;
use monsoonnotch_ingress::limits::RECEIVE_BUFFER_BYTES;
use monsoonnotch_ingress::prelude::Budget;
use monsoonnotch_ingress::prelude::Limits;
use monsoonnotch_ingress::prelude::Listener;
use monsoonnotch_ingress::prelude::Report;

use crate::logs;
use crate::measure;
use crate::process::Addresses;
use crate::settings::Settings;

/// Maximum number of connections of operators.
const OPERATORS_MAX: usize = 128;
/// Memory for the bodies of operators' requests, in bytes.
const OPERATORS_MEMORY: u64 = 4 * MIB;

/// The bound listeners of an entry.
#[derive(Debug)]
pub(crate) struct Listeners {
    pub(crate) callers: Listener,
    pub(crate) operators: Listener,
    pub(crate) peers: Listener,
}

impl Listeners {
    /// Binds the listeners, and divides what clients may take among them.
    pub(crate) fn bind(settings: &Settings) -> std::io::Result<Self> {
        let limits = &settings.limits;
        let mut left = Limits::of_vm(limits.memory_mib * MIB, limits.descriptors);
        let operators = left.split_off_few(OPERATORS_MAX, OPERATORS_MEMORY);
        let peers = left.split_off_links();
        let rest = left.rest();
        let callers = Limits {
            connections: rest.connections.min(limits.connections),
            ..rest
        };
        let e = &settings.entry;
        let http = RECEIVE_BUFFER_BYTES;
        Ok(Self {
            callers: bind("callers", e.callers, http, callers)?,
            operators: bind("operators", e.operators, http, operators)?,
            peers: bind("peers", e.peers, LINK_RECEIVE_BUFFER_BYTES, peers)?,
        })
    }

    /// Returns the addresses with the actual ports.
    pub(crate) fn addrs(&self) -> std::io::Result<Addresses> {
        Ok(Addresses {
            callers: self.callers.local_addr()?,
            operators: self.operators.local_addr()?,
            peers: self.peers.local_addr()?,
        })
    }
}

fn bind(
    name: &'static str,
    addr: SocketAddr,
    receive_buffer: u32,
    limits: Limits,
) -> std::io::Result<Listener> {
    let count = |listener, cause: monsoonnotch_ingress::prelude::Cause| {
        measure::record_limited_client(listener, cause.name());
    };
    let budget = Budget::new(name, limits, count, log_report);
    Listener::bind(addr, receive_buffer, budget)
}

fn log_report(report: Report) {
    logs::log_notice(&Notice::ClientsLimited {
        listener: report.listener,
        cause: report.cause.name(),
        cases: report.cases,
    });
}
