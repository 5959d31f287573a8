//! Benchmarks of a placement, a tick, a ledger record and a configuration record.

mod member;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use member::Member;
use member::team_change;
use member::vm;
use monsoonnotch_core::event::CallOutcome;
use monsoonnotch_core::ledger::Ledger;
use monsoonnotch_core::prelude::*;
use monsoonnotch_core::record::Batch;
use monsoonnotch_core::record::Body;
use monsoonnotch_core::record::Holding;
use monsoonnotch_core::record::Record;

const WORKERS: [usize; 3] = [50, 500, 5_400];
const TEAMS: [usize; 2] = [6, 180];

/// Measures one request from its arrival to its end, with seven of eight slots in use.
fn placement(c: &mut Criterion) {
    let mut group = c.benchmark_group("placement");
    for workers in WORKERS {
        for teams in TEAMS {
            let mut m = Member::new(workers, teams);
            for n in 0..workers * 7 {
                m.arrive(n % teams);
            }
            assert_eq!(m.control.fleet().slots().used, workers as u64 * 7);
            let mut n = 0;
            let id = BenchmarkId::new(format!("{teams}_teams"), workers);
            group.bench_function(id, |b| {
                b.iter(|| {
                    n += 1;
                    m.now += 1;
                    let call = m.arrive(n % teams);
                    let outcome = CallOutcome::Complete;
                    m.step(Event::CallEnded { call, outcome })
                });
                // Without a read of the log the member's certainty would expire.
                m.ticks(1);
            });
            assert_eq!(m.control.fleet().slots().used, workers as u64 * 7);
        }
    }
    group.finish();
}

/// Measures the same with every slot in use and requests of every team in the queue.
fn placement_when_full(c: &mut Criterion) {
    let mut group = c.benchmark_group("placement_when_full");
    for workers in WORKERS {
        for teams in TEAMS {
            let mut m = Member::new(workers, teams);
            let mut running = std::collections::VecDeque::new();
            for n in 0..workers * 8 + teams * 10 {
                running.push_back(m.arrive(n % teams));
            }
            assert_eq!(m.control.fleet().slots().used, workers as u64 * 8);
            let mut n = 0;
            let id = BenchmarkId::new(format!("{teams}_teams"), workers);
            group.bench_function(id, |b| {
                b.iter(|| {
                    n += 1;
                    m.now += 1;
                    running.push_back(m.arrive(n % teams));
                    let call = running.pop_front().expect("all slots are in use");
                    let outcome = CallOutcome::Complete;
                    m.step(Event::CallEnded { call, outcome })
                });
                m.ticks(1);
            });
        }
    }
    group.finish();
}

/// Measures one tick of a member that holds the whole fleet.
fn tick(c: &mut Criterion) {
    let mut group = c.benchmark_group("tick");
    for workers in WORKERS {
        let mut m = Member::new(workers, 6);
        let id = BenchmarkId::from_parameter(workers);
        group.bench_function(id, |b| b.iter(|| m.ticks(1)));
    }
    group.finish();
}

/// Measures the record that transfers a worker to another member.
fn ledger_record(c: &mut Criterion) {
    let mut group = c.benchmark_group("ledger_record");
    for workers in WORKERS {
        for teams in TEAMS {
            let mut l = ledger(workers, teams);
            let mut seq = [l.seqs[&MemberId(1)], l.seqs[&MemberId(2)]];
            let id = BenchmarkId::new(format!("{teams}_teams"), workers);
            group.bench_function(id, |b| {
                b.iter(|| {
                    let holder = usize::from(l.holder_of_vm("vm-7") == Some(MemberId(2)));
                    seq[holder] += 1;
                    let body = Body::Transfer {
                        holdings: vec![Holding::Vm(Name::new("vm-7"))],
                        to: MemberId(2 - holder as u64),
                    };
                    apply(&mut l, holder as u64 + 1, seq[holder], body)
                });
            });
        }
    }
    group.finish();
}

/// Measures the record that changes a team.
fn config_record(c: &mut Criterion) {
    let mut group = c.benchmark_group("config_record");
    for workers in WORKERS {
        for teams in TEAMS {
            let mut l = ledger(workers, teams);
            let mut seq = l.seqs[&MemberId(1)];
            let id = BenchmarkId::new(format!("{teams}_teams"), workers);
            group.bench_function(id, |b| {
                b.iter(|| {
                    seq += 1;
                    let version = l.config.teams[&member::team(3)].version;
                    apply(&mut l, 1, seq, Body::Config(team_change(3, version)))
                });
            });
        }
    }
    group.finish();
}

fn ledger(workers: usize, teams: usize) -> Ledger {
    let mut l = Ledger::default();
    for w in [1, 2] {
        let body = Body::Join {
            domain: Name::new("domain-0"),
            addr: Name::new("10.0.0.1:1"),
        };
        apply(&mut l, w, 1, body);
    }
    let holdings = (0..workers).map(|i| Holding::Vm(vm(i).name)).collect();
    apply(&mut l, 1, 2, Body::Claim { holdings });
    for i in 0..teams {
        apply(&mut l, 1, 3 + i as u64, Body::Config(team_change(i, 0)));
    }
    l
}

fn apply(l: &mut Ledger, writer: u64, seq: u64, body: Body) -> usize {
    let writer = MemberId(writer);
    let records = vec![Record { seq, body }];
    l.apply(l.next, &Batch { writer, records }).len()
}

criterion_group! {
    name = all;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(std::time::Duration::from_millis(200))
        .measurement_time(std::time::Duration::from_millis(800));
    targets = placement, placement_when_full, tick, ledger_record, config_record
}
criterion_main!(all);
