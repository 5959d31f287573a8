//! What the clients of this member may take: one budget for each listener, all of them parts of what the VM
//! has.

use std::net::SocketAddr;

use monsoonnotch_entry::measure;
use monsoonnotch_ingress::limits::LINK_RECEIVE_BUFFER_BYTES;
use monsoonnotch_ingress::limits::MIB;
use monsoonnotch_ingress::limits::RECEIVE_BUFFER_BYTES;
use monsoonnotch_ingress::prelude::Budget;
use monsoonnotch_ingress::prelude::Cause;
use monsoonnotch_ingress::prelude::Limits;
use monsoonnotch_ingress::prelude::Listener;
use monsoonnotch_ingress::prelude::Report;

use crate::settings::Member;

/// Maximum number of connections of the load balancer, and of operators.
const FEW_CONNECTIONS: usize = 16;
/// Memory for the jobs in operators' questions, in bytes.
const QUESTIONS_MEMORY: u64 = MIB;

/// The budgets of this member's clients.
#[derive(Debug)]
pub(crate) struct Budgets {
    readiness: Budget,
    operators: Budget,
    links: Budget,
    callers: Budget,
    /// For the records that followers relay to this member while it is the leader.
    pub(crate) relayed: Budget,
}

impl Budgets {
    /// Divides what clients may take of the VM.
    pub(crate) fn new(mut limits: Limits) -> Self {
        let budget = |listener, limits| Budget::new(listener, limits, count, log_report);
        let readiness = budget("readiness", limits.split_off_few(FEW_CONNECTIONS, 0));
        let operators = budget(
            "operators",
            limits.split_off_few(FEW_CONNECTIONS, QUESTIONS_MEMORY),
        );
        let links = budget("links", limits.split_off_links());
        let relayed = budget("relayed", limits.split_off_records());
        Self {
            readiness,
            operators,
            links,
            callers: budget("callers", limits.rest()),
            relayed,
        }
    }
}

/// The listeners of a member.
#[derive(Debug)]
pub(crate) struct Listeners {
    pub(crate) callers: Listener,
    pub(crate) readiness: Listener,
    pub(crate) links: Listener,
}

impl Listeners {
    /// Binds the listeners that a member cannot do without.
    pub(crate) fn bind(member: &Member, budgets: &Budgets) -> std::io::Result<Self> {
        let http = |addr, budget: &Budget| bind(addr, RECEIVE_BUFFER_BYTES, budget);
        Ok(Self {
            links: bind(member.peers, LINK_RECEIVE_BUFFER_BYTES, &budgets.links)?,
            callers: http(member.callers, &budgets.callers)?,
            readiness: http(member.readiness, &budgets.readiness)?,
        })
    }
}

/// Binds the operators' listener.
pub(crate) fn bind_operators(addr: SocketAddr, budgets: &Budgets) -> std::io::Result<Listener> {
    bind(addr, RECEIVE_BUFFER_BYTES, &budgets.operators)
}

fn bind(addr: SocketAddr, receive_buffer: u32, budget: &Budget) -> std::io::Result<Listener> {
    Listener::bind(addr, receive_buffer, budget.clone())
}

/// Counts a client that was limited.
fn count(listener: &'static str, cause: Cause) {
    measure::record_limited_client(listener, cause.name());
}

/// Logs which clients were limited.
fn log_report(report: Report) {
    let Report {
        listener,
        cause,
        cases,
        memory,
        connections,
    } = report;
    log::warn!(event = "clients limited", listener = listener, cause = cause.name(), cases = cases, memory = memory, connections = connections; "refused requests or closed connections of clients outside the limits, or for want of room");
}
