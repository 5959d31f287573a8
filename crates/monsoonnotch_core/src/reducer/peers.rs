//! Messages between members: dispatch of received ones, pings, promises and load summaries.

use std::collections::BTreeMap;

use super::Control;
use crate::ident::MemberId;
use crate::ident::Name;
use crate::notice::Notice;
use crate::record::Body;
use crate::time::Time;
use crate::wire::PeerMsg;
use crate::wire::Summary;

/// Maximum number of teams whose charges one summary reports.
const REPORTED_TEAMS_MAX: usize = 8;

/// State of the other members as reported by them.
#[derive(Debug, Default)]
pub(super) struct Peers {
    ping_due: Time,
    summary_due: Time,
    /// Last summary of each peer and the time of its arrival.
    pub(super) summaries: BTreeMap<MemberId, (Time, Summary)>,
    /// Charges of each team at each peer, as last reported.
    totals: BTreeMap<(MemberId, Name), u64>,
    /// Position of each peer on the control stream, as last reported.
    positions: BTreeMap<MemberId, u64>,
}

impl Control {
    pub(super) fn peer_message(&mut self, from: MemberId, to: MemberId, msg: PeerMsg) {
        if to != self.cfg.me {
            return;
        }
        match msg {
            PeerMsg::Ping {
                sent,
                next,
                records,
            } => self.pinged(from, sent, next, records),
            PeerMsg::Promise {
                sent,
                next,
                records,
            } => {
                self.relayed(records);
                self.peers.positions.insert(from, next);
                self.guarding.promise_received(from, Time(sent));
            }
            PeerMsg::Summary(s) => {
                self.summary_received(from, s);
            }
            PeerMsg::SlotRequest(request) => self.slot_requested(from, request),
            PeerMsg::SlotGrant {
                call, asked, addr, ..
            } => self.slot_granted(from, call, Time(asked), addr),
            PeerMsg::SlotDenied { call, reason } => self.slot_denied(from, call, reason),
            PeerMsg::SlotReturn {
                call,
                asked,
                verdict,
            } => self.slot_returned(from, call, asked, verdict),
            PeerMsg::IntentRequest { call, key, digest } => {
                self.intent_requested(from, call, key, digest)
            }
            PeerMsg::IntentAnswer { call, answer } => self.intent_answered(call, answer),
            PeerMsg::IntentSettle { key, call, verdict } => {
                self.intent_settled(from, &key, call, verdict);
            }
            PeerMsg::SettleAck { call } => self.settle_acknowledged(call),
            PeerMsg::TaskOrders { seq, orders } => self.task_orders(from, seq, orders),
            PeerMsg::TaskUpdates { updates } => self.task_updates(from, updates),
            PeerMsg::TaskUpdatesAck { tasks } => self.updates_acknowledged(&tasks),
            PeerMsg::ListTasks { query, next } => self.list_tasks(from, query, next),
            PeerMsg::TaskList {
                query,
                tasks,
                ended,
                unknown,
            } => self.task_list_received(from, query, &tasks, ended, unknown),
            PeerMsg::JobRequest { query, request } => self.peer_job_requested(from, query, request),
            PeerMsg::JobAnswer { query, answer } => self.peer_job_answered(query, answer),
        }
    }

    pub(super) fn ping_if_due(&mut self) {
        if self.now < self.peers.ping_due {
            return;
        }
        self.peers.ping_due = self.now + self.cfg.timing.ping_interval;
        for guard in self.guarding.guards(&self.ledger) {
            let known = self.peers.positions.get(&guard).copied();
            let records = known.map_or(Vec::new(), |next| self.relay_from(next));
            let msg = PeerMsg::Ping {
                sent: self.now.0,
                next: self.ledger.next,
                records,
            };
            self.send(guard, msg);
        }
    }

    pub(super) fn vote_if_due(&mut self) {
        if self.log.unavailable || self.stopping.begun() {
            return;
        }
        for target in self.guarding.votes_due(self.now, &self.ledger) {
            self.log_notice(Notice::Voted(target));
            let read = self.ledger.next;
            self.write(Body::Vote { target, read });
        }
    }

    pub(super) fn summary_if_due(&mut self) {
        if self.now < self.peers.summary_due {
            return;
        }
        self.peers.summary_due = self.now + self.cfg.timing.summary_interval;
        let summary = self.summary();
        let members: Vec<MemberId> = self.ledger.members.keys().copied().collect();
        for m in members {
            if m != self.cfg.me {
                self.send(m, PeerMsg::Summary(summary.clone()));
            }
        }
    }

    pub(super) fn peer_ended(&mut self, m: MemberId) {
        self.peers.summaries.remove(&m);
        self.peers.positions.remove(&m);
        self.peers.totals.retain(|(p, _), _| *p != m);
        self.calls_peer_ended(m);
        self.grants_peer_ended(m);
    }

    fn summary_received(&mut self, from: MemberId, s: Summary) {
        for (team, total) in &s.used {
            let reported = self.peers.totals.entry((from, team.clone()));
            let before = std::mem::replace(reported.or_insert(*total), *total);
            self.calls.queue.charged_by_peer(team, before, *total);
        }
        self.peers.summaries.insert(from, (self.now, s));
    }

    fn pinged(&mut self, from: MemberId, sent: u64, next: u64, records: Vec<crate::wire::Relayed>) {
        self.relayed(records);
        self.peers.positions.insert(from, next);
        if self.guarding.pinged(self.now, from, &self.ledger) {
            let msg = PeerMsg::Promise {
                sent,
                next: self.ledger.next,
                records: self.relay_from(next),
            };
            self.send(from, msg);
        }
    }

    fn summary(&mut self) -> Summary {
        let price = self.next_price();
        let free = match self.is_certain() {
            true => u32::try_from(self.fleet.free_slots()).unwrap_or(u32::MAX),
            false => 0,
        };
        Summary {
            free,
            waiting: u32::try_from(self.calls.queue.len()).unwrap_or(u32::MAX),
            price,
            used: self.calls.queue.totals_to_report(REPORTED_TEAMS_MAX),
        }
    }
}
