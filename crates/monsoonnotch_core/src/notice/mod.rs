//! Numbered events for the log; `docs/EVENTS.md` lists them.
//!
//! One table defines each event: its stable number, its level, its values and
//! the text of its line. The `notices!` macro generates the `Notice` type, its
//! methods and the catalogue from that table.

use crate::ident::MemberId;
use crate::ident::Name;
use crate::verdict::Reason;

/// The severity of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// An invariant is broken, or the process cannot go on.
    Error,
    /// An operator should investigate.
    Warn,
    /// The event occurs in normal operation.
    Info,
}

impl Level {
    /// Returns the text that stands for the level in the catalogue.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
        }
    }
}

/// The entry of one event in the catalogue.
#[derive(Debug, Clone, Copy)]
pub struct CatalogueEntry {
    /// The stable number of the event.
    pub number: u16,
    /// The severity of the event.
    pub level: Level,
    /// The text of the log line, with the names of values in braces.
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
        /// An event that is written to the log.
        #[derive(Debug, Clone, PartialEq, Eq)]
        pub enum Notice {
            $(
                $(#[$doc])+
                $variant $(($kind))? $({ $($(#[$field_doc])+ $field: $field_kind),+ })?,
            )+
        }

        impl Notice {
            /// Returns the stable number of the event.
            pub fn number(&self) -> u16 {
                match self {
                    $(Self::$variant { .. } => $number,)+
                }
            }

            /// Returns the severity of the event.
            pub fn level(&self) -> Level {
                match self {
                    $(Self::$variant { .. } => Level::$level,)+
                }
            }

            /// Returns the text of the log line.
            pub fn text(&self) -> String {
                match self {
                    $(Self::$variant $(($value))? $({ $($field),+ })? => format!($text),)+
                }
            }
        }

        /// Every event, in ascending order of its number.
        pub const CATALOGUE: &[CatalogueEntry] = &[
            $(CatalogueEntry { number: $number, level: Level::$level, text: $text },)+
        ];
    };
}

notices! {
    /// The process accepts connections.
    1 Info Listening {
        /// Address of the callers' listener.
        callers: Name,
        /// Address of the operators' listener.
        operators: Name,
        /// Address of the peers' listener.
        peers: Name,
    } => "listening callers={callers} operators={operators} peers={peers}";
    /// The process has joined the cluster as a member.
    2 Info Joined(member: MemberId) => "joined member={member}";
    /// A member was evicted.
    3 Warn Evicted {
        /// The evicted member.
        member: MemberId,
        /// The successor, which takes over its holdings.
        heir: MemberId,
    } => "evicted member={member} heir={heir}";
    /// A member left after a graceful shutdown.
    4 Info Left(member: MemberId) => "left member={member}";
    /// This process was evicted and rejoins as a new member.
    5 Error SelfEvicted => "this process was evicted; it rejoins as a new member";
    /// The right to start work expired.
    6 Warn CertaintyLost => "certainty lost; no new work is started";
    /// The process may start work again.
    7 Info CertaintyBack => "certainty regained";
    /// The platform's log is unavailable.
    8 Warn LogUnavailable => "the log cannot be reached";
    /// The platform's log is available again.
    9 Info LogAvailable => "the log can be reached again";
    /// A record of the control stream cannot be decoded.
    10 Error BadRecord(offset: u64) => "undecodable record offset={offset}";
    /// This process, as a guard, votes to evict a member.
    11 Warn Voted(member: MemberId) => "voted against member={member}";
    /// A configuration change was applied.
    12 Info ConfigApplied(version: u64) => "configuration applied version={version}";
    /// A worker fails most of its work and was quarantined.
    13 Warn VmQuarantined(vm: Name) => "worker quarantined vm={vm}";
    /// A worker was released from quarantine and takes work again.
    14 Info VmReleased(vm: Name) => "worker released from quarantine vm={vm}";
    /// A graceful shutdown has begun.
    15 Info Stopping => "graceful shutdown begins";
    /// A graceful shutdown is complete.
    16 Info Stopped => "graceful shutdown complete";
    /// A signal that has no effect was received.
    17 Info SignalIgnored => "SIGHUP ignored; restart the process to reload its settings";
    /// Requests are being refused for one reason.
    18 Warn Refusing(reason: Reason) => "refusing requests reason={reason}";
    /// A graceful shutdown exceeded its time limit and cut the requests in progress.
    19 Warn StopTimeout(cut: u32) => "shutdown timed out; requests were cut cut={cut}";
    /// A check of an internal invariant failed.
    20 Error InvariantBroken(what: &'static str) => "invariant broken: {what}";
    /// Requests of clients were refused or their connections closed.
    21 Warn ClientsLimited {
        /// The listener: `callers`, `operators` or `peers`.
        listener: &'static str,
        /// The name of the cause.
        cause: &'static str,
        /// Number of cases since the last such event.
        cases: u64,
    } => "clients limited listener={listener} cause={cause} cases={cases}";
}
