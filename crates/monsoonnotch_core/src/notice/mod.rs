//! Numbered events for the log; the catalogue is docs/EVENTS.md.
//!
//! One table names each event once: its stable number, its level, what it
//! carries and the text of its line. The type, its methods and the catalogue
//! all come from that table.

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

impl Level {
    /// The text in the catalogue.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
        }
    }
}

/// An event as the catalogue lists it.
#[derive(Debug, Clone, Copy)]
pub struct CatalogueEntry {
    /// The stable number.
    pub number: u16,
    /// How much it matters.
    pub level: Level,
    /// The text of the line, with names of values in braces.
    pub text: &'static str,
}

macro_rules! notices {
    ($(
        $(#[$doc:meta])+
        $number:literal $level:ident $variant:ident
            $(($value:ident: $kind:ty))?
            $({ $($(#[$field_doc:meta])+ $field:ident: $field_kind:ty),+ $(,)? })?
            => $text:literal;
    )+) => {
        /// An event worth a line in the log.
        #[derive(Debug, Clone, PartialEq, Eq)]
        pub enum Notice {
            $(
                $(#[$doc])+
                $variant $(($kind))? $({ $($(#[$field_doc])+ $field: $field_kind),+ })?,
            )+
        }

        impl Notice {
            /// The stable number.
            pub fn number(&self) -> u16 {
                match self {
                    $(Self::$variant { .. } => $number,)+
                }
            }

            /// How much it matters.
            pub fn level(&self) -> Level {
                match self {
                    $(Self::$variant { .. } => Level::$level,)+
                }
            }

            /// The text of the line.
            pub fn text(&self) -> String {
                match self {
                    $(Self::$variant $(($value))? $({ $($field),+ })? => format!($text),)+
                }
            }
        }

        /// Every event there is, in the order of the table.
        pub const CATALOGUE: &[CatalogueEntry] = &[
            $(CatalogueEntry { number: $number, level: Level::$level, text: $text },)+
        ];
    };
}

notices! {
    /// The process accepts connections.
    1 Info Listening {
        /// The callers' listener.
        callers: Name,
        /// The operators' listener.
        operators: Name,
        /// The peers' listener.
        peers: Name,
    } => "listening callers={callers} operators={operators} peers={peers}";
    /// The process reads as a member.
    2 Info Joined(member: MemberId) => "joined member={member}";
    /// A member was evicted.
    3 Warn Evicted {
        /// The member.
        member: MemberId,
        /// Its heir.
        heir: MemberId,
    } => "evicted member={member} heir={heir}";
    /// A member left by itself.
    4 Info Left(member: MemberId) => "left member={member}";
    /// The process was evicted and goes on as a new member.
    5 Error SelfEvicted => "evicted; this process goes on as a new member";
    /// The right to start work lapsed.
    6 Warn CertaintyLost => "certainty lost; no new work is started";
    /// The right to start work is back.
    7 Info CertaintyBack => "certainty regained";
    /// The log cannot be reached.
    8 Warn LogUnavailable => "the log cannot be reached";
    /// The log can be reached again.
    9 Info LogAvailable => "the log can be reached again";
    /// A record of the control stream cannot be decoded.
    10 Error BadRecord(offset: u64) => "undecodable record offset={offset}";
    /// A guard votes against a member.
    11 Warn Voted(member: MemberId) => "voted against member={member}";
    /// A configuration change is in force.
    12 Info ConfigApplied(version: u64) => "configuration in force version={version}";
    /// A worker fails what it starts and is put aside.
    13 Warn VmQuarantined(vm: Name) => "worker put aside vm={vm}";
    /// A worker that was put aside takes work again.
    14 Info VmReleased(vm: Name) => "worker back vm={vm}";
    /// A graceful shutdown begins.
    15 Info Stopping => "graceful shutdown begins";
    /// A graceful shutdown is complete.
    16 Info Stopped => "graceful shutdown complete";
    /// A signal that changes nothing was received.
    17 Info SignalIgnored => "SIGHUP changes nothing; restart to read settings";
    /// Work of one kind is being refused.
    18 Warn Refusing(reason: Reason) => "refusing reason={reason}";
    /// A graceful shutdown took too long and requests in progress were cut.
    19 Warn StopTimeout(cut: u32) => "shutdown timeout; cut={cut}";
    /// An invariant is broken.
    20 Error InvariantBroken(what: &'static str) => "invariant broken: {what}";
}
