//! Numbered events for the log; the catalogue is docs/EVENTS.md.

use crate::ident::MemberId;
use crate::ident::Name;
use crate::verdict::Reason;

/// How much an event matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// An invariant is broken, or the process cannot go on.
    Error,
    /// Someone should look at it.
    Warn,
    /// Part of ordinary life.
    Info,
}

/// An event worth a line in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// The process accepts connections.
    Listening {
        /// The callers' listener.
        callers: Name,
        /// The operators' listener.
        operators: Name,
        /// The peers' listener.
        peers: Name,
    },
    /// The process reads as a member.
    Joined(MemberId),
    /// A member was evicted.
    Evicted {
        /// The member.
        member: MemberId,
        /// Its heir.
        heir: MemberId,
    },
    /// A member left by itself.
    Left(MemberId),
    /// The process was evicted and ends.
    OwnEviction,
    /// The right to start work lapsed.
    CertaintyLost,
    /// The right to start work is back.
    CertaintyBack,
    /// The log cannot be reached.
    LogDark,
    /// The log can be reached again.
    LogBack,
    /// A record of the control stream cannot be decoded.
    BadRecord(u64),
    /// A guard votes against a member.
    Voted(MemberId),
    /// A configuration change is in force.
    ConfigApplied(u64),
    /// A worker fails what it starts and is put aside.
    VmAside(Name),
    /// A worker that was put aside takes work again.
    VmBack(Name),
    /// A graceful shutdown begins.
    Stopping,
    /// A graceful shutdown is complete.
    Stopped,
    /// A signal that changes nothing was received.
    SignalIgnored,
    /// Work of one kind is being refused.
    Refusing(Reason),
    /// A graceful shutdown took too long and requests in progress were cut.
    StopTimeout(u32),
    /// An invariant is broken.
    Broken(&'static str),
}

impl Notice {
    /// The stable number.
    pub fn number(&self) -> u16 {
        match self {
            Self::Listening { .. } => 1,
            Self::Joined(_) => 2,
            Self::Evicted { .. } => 3,
            Self::Left(_) => 4,
            Self::OwnEviction => 5,
            Self::CertaintyLost => 6,
            Self::CertaintyBack => 7,
            Self::LogDark => 8,
            Self::LogBack => 9,
            Self::BadRecord(_) => 10,
            Self::Voted(_) => 11,
            Self::ConfigApplied(_) => 12,
            Self::VmAside(_) => 13,
            Self::VmBack(_) => 14,
            Self::Stopping => 15,
            Self::Stopped => 16,
            Self::SignalIgnored => 17,
            Self::Refusing(_) => 18,
            Self::StopTimeout(_) => 19,
            Self::Broken(_) => 20,
        }
    }

    /// How much it matters.
    pub fn level(&self) -> Level {
        match self {
            Self::OwnEviction | Self::Broken(_) | Self::BadRecord(_) => Level::Error,
            Self::Evicted { .. } | Self::CertaintyLost | Self::LogDark => Level::Warn,
            Self::Voted(_) | Self::VmAside(_) | Self::Refusing(_) => Level::Warn,
            Self::StopTimeout(_) => Level::Warn,
            _ => Level::Info,
        }
    }

    /// The text of the line.
    pub fn text(&self) -> String {
        match self {
            Self::Listening {
                callers,
                operators,
                peers,
            } => format!("listening callers={callers} operators={operators} peers={peers}"),
            Self::Joined(m) => format!("joined member={m}"),
            Self::Evicted { member, heir } => format!("evicted member={member} heir={heir}"),
            Self::Left(m) => format!("left member={m}"),
            Self::OwnEviction => "evicted; this process ends".to_owned(),
            Self::CertaintyLost => "certainty lost; no new work is started".to_owned(),
            Self::CertaintyBack => "certainty regained".to_owned(),
            Self::LogDark => "the log cannot be reached".to_owned(),
            Self::LogBack => "the log can be reached again".to_owned(),
            Self::BadRecord(offset) => format!("undecodable record offset={offset}"),
            Self::Voted(m) => format!("voted against member={m}"),
            Self::ConfigApplied(v) => format!("configuration in force version={v}"),
            Self::VmAside(vm) => format!("worker put aside vm={vm}"),
            Self::VmBack(vm) => format!("worker back vm={vm}"),
            Self::Stopping => "graceful shutdown begins".to_owned(),
            Self::Stopped => "graceful shutdown complete".to_owned(),
            Self::SignalIgnored => "SIGHUP changes nothing; restart to read settings".to_owned(),
            Self::Refusing(r) => format!("refusing reason={}", r.number()),
            Self::StopTimeout(n) => format!("shutdown timeout; cut={n}"),
            Self::Broken(what) => format!("invariant broken: {what}"),
        }
    }
}
