//! Queries of parts of the state by operators.
//!
//! Only the requested part is serialized, so that a query of one team costs the
//! control thread little even with a large fleet.

use std::collections::BTreeMap;

use serde::Serialize;

use super::Control;
use crate::config::Config;
use crate::config::TeamKey;
use crate::config::Versioned;
use crate::effect::Answer;
use crate::effect::Effect;
use crate::event::StateQuery;
use crate::ident::Name;
use crate::ident::Ticket;
use crate::verdict::Reason;
use crate::verdict::Refusal;

/// A key without the hash of its secret.
#[derive(Debug, Serialize)]
struct KeyView<'a> {
    team: &'a Name,
    withdrawn: bool,
}

impl Control {
    pub(super) fn query_state(&mut self, ticket: Ticket, query: &StateQuery) {
        let config = &self.ledger.config;
        let text = match query {
            StateQuery::Vms => Some(json(&self.vm_states())),
            StateQuery::Config => Some(json(config)),
            StateQuery::History => Some(json(&config.recent.iter().rev().collect::<Vec<_>>())),
            StateQuery::Profiles => Some(json(&config.profiles)),
            StateQuery::Teams => Some(json(&config.teams)),
            StateQuery::Keys => Some(json(&keys(config))),
            StateQuery::Profile(name) => config.profiles.get(name).map(json),
            StateQuery::Team(name) => config.teams.get(name).map(json),
            StateQuery::Key(id) => config.keys.get(id).map(|k| json(&key(k))),
        };
        let answer = match text {
            Some(text) => Answer::Dump(text),
            None => Answer::Refused(Refusal::not_run(Reason::NotFound)),
        };
        self.effects.push(Effect::Answer { ticket, answer });
    }
}

fn keys(config: &Config) -> BTreeMap<&Name, Versioned<KeyView<'_>>> {
    config.keys.iter().map(|(id, k)| (id, key(k))).collect()
}

fn key(k: &Versioned<TeamKey>) -> Versioned<KeyView<'_>> {
    Versioned {
        version: k.version,
        stamp: k.stamp.clone(),
        value: KeyView {
            team: &k.value.team,
            withdrawn: k.value.withdrawn,
        },
    }
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("the state has a JSON form")
}
