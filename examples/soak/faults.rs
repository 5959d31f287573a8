//! Faults in series that overlap, drawn from a seed.

use std::time::Duration;

use monsoonnotch_adapter_standins::member::Member;
use monsoonnotch_adapter_standins::site::Site;
use monsoonnotch_adapter_standins::store::Faults;
use monsoonnotch_standins::tap::Fault;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::Instant;

/// Something that ends by being undone.
#[derive(Debug, Clone, Copy)]
enum Undo {
    Start(usize),
    Go(usize),
    Path(usize),
    Store,
    Vm(usize),
    VmPath(usize),
    VmLate(usize),
}

/// Faults at work.
#[derive(Debug, Default)]
pub(crate) struct Series {
    open: Vec<(Instant, Undo)>,
    /// What was done, in words.
    pub(crate) told: Vec<String>,
}

impl Series {
    /// Begins one more fault.
    pub(crate) fn begin(&mut self, rng: &mut StdRng, site: &Site, members: &mut [Member]) {
        let m = rng.random_range(0..members.len());
        let v = rng.random_range(0..site.vms.len());
        let ms = rng.random_range(300..4_000);
        let (what, undo) = match rng.random_range(0..11) {
            0 => (signal(&members[m], "KILL", "kill"), Undo::Start(m)),
            1 => (signal(&members[m], "STOP", "pause"), Undo::Go(m)),
            2 => (signal(&members[m], "TERM", "stop"), Undo::Start(m)),
            3 => (path(&members[m], Fault::Dark), Undo::Path(m)),
            4 => (path(&members[m], Fault::Silent), Undo::Path(m)),
            5 => (path(&members[m], Fault::SilentAnswer), Undo::Path(m)),
            6 => {
                let faults = [
                    Faults {
                        down: true,
                        ..Faults::default()
                    },
                    Faults {
                        lost: 0.3,
                        ..Faults::default()
                    },
                    Faults {
                        slow_ms: 150,
                        ..Faults::default()
                    },
                ];
                let faults = faults[rng.random_range(0..3)];
                site.store.set_faults(faults);
                (format!("store {faults:?}"), Undo::Store)
            }
            7 => {
                site.vms[v].crash();
                (format!("VM {v} crashes"), Undo::Vm(v))
            }
            8 => {
                site.taps[v].set(Fault::Silent);
                site.taps[v].silence_open();
                (format!("VM {v} is cut off"), Undo::VmPath(v))
            }
            9 => {
                site.vms[v].set_late(0.2);
                (format!("VM {v} carries orders out late"), Undo::VmLate(v))
            }
            _ => {
                members.iter().for_each(|m| m.signal("KILL"));
                let more = (0..members.len()).map(|m| (Instant::now(), Undo::Start(m)));
                self.open.extend(more);
                ("all members are killed".to_owned(), Undo::Store)
            }
        };
        self.told.push(format!("{what} for {ms} ms"));
        self.open
            .push((Instant::now() + Duration::from_millis(ms), undo));
    }

    /// Undoes what is over, or everything.
    pub(crate) fn undo(&mut self, all: bool, site: &Site, members: &mut [Member], program: &str) {
        let now = Instant::now();
        let due = |(at, _): &mut (Instant, Undo)| all || *at <= now;
        let due: Vec<(Instant, Undo)> = self.open.extract_if(.., due).collect();
        for (_, undo) in due {
            match undo {
                Undo::Start(m) => members[m].start(program),
                Undo::Go(m) => members[m].signal("CONT"),
                Undo::Path(m) => members[m].tap.set(Fault::None),
                Undo::Store => site.store.set_faults(Faults::default()),
                Undo::Vm(v) => site.vms[v].restart(),
                Undo::VmPath(v) => site.taps[v].set(Fault::None),
                Undo::VmLate(v) => site.vms[v].set_late(0.0),
            }
        }
    }
}

fn signal(m: &Member, name: &str, what: &str) -> String {
    m.signal(name);
    format!("{what} {}", m.name())
}

/// Puts a fault on the way to the store; open connections go silent.
fn path(m: &Member, fault: Fault) -> String {
    let what = format!("{} to the store: {fault:?}", m.name());
    m.tap.set(fault);
    m.tap.silence_open();
    what
}
