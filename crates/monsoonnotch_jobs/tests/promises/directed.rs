//! Single steps of the reducer, in an order that random days hardly meet.

use std::sync::Arc;

use monsoonnotch_core::time::Time;
use monsoonnotch_jobs::effect::Effect;
use monsoonnotch_jobs::effect::LookKey;
use monsoonnotch_jobs::event::Event;
use monsoonnotch_jobs::event::StartAnswer;
use monsoonnotch_jobs::holder::Holder;
use monsoonnotch_jobs::holder::RunKey;
use monsoonnotch_jobs::journal;
use monsoonnotch_jobs::plan::JobId;
use monsoonnotch_jobs::plan::Step;
use monsoonnotch_jobs::tuning::Tuning;
use monsoonnotch_jobs::vm::EndRow;
use monsoonnotch_jobs::vm::How;
use monsoonnotch_jobs::vm::Look;

use crate::random::cpu;
use crate::random::fleet;
use crate::random::site;
use crate::world::EPOCH;

fn at(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn tell(holder: &mut Holder, ms: u64, event: Event) -> Vec<Effect> {
    holder.handle(event, at(ms), EPOCH + ms);
    holder.decide(at(ms), EPOCH + ms)
}

fn looks(fx: &[Effect]) -> Vec<LookKey> {
    let key = |e: &Effect| match e {
        Effect::Look { key, .. } => Some(*key),
        _ => None,
    };
    fx.iter().filter_map(key).collect()
}

fn starts(fx: &[Effect]) -> Vec<RunKey> {
    let key = |e: &Effect| match e {
        Effect::Start { run, .. } => Some(*run),
        _ => None,
    };
    fx.iter().filter_map(key).collect()
}

fn look(ended: Vec<EndRow>) -> Look {
    Look {
        clock_ms: 1_000,
        ended,
        ..Look::default()
    }
}

/// A start is answered by nobody, though its run ends well; the same start goes
/// out again and is refused as old before any look shows the end.
#[test]
fn a_start_refused_as_old_may_have_run_and_is_not_run_elsewhere() {
    let tuning = Tuning::default();
    let mut holder = Holder::new(1, tuning, Arc::new(site(0, false)), at(0), at(0));
    tell(&mut holder, 0, Event::AllVms(fleet(2, 8_000)));
    let fx = tell(&mut holder, 1, Event::CaughtUp { marker: 0 });
    for key in looks(&fx) {
        let answer = Ok(look(Vec::new()));
        tell(&mut holder, 2, Event::Looked { key, answer });
    }
    let submission = journal::Submission {
        queue: "quick".into(),
        account: "ann".into(),
        pool: "pool".into(),
        taken_ms: EPOCH,
        plan: monsoonnotch_jobs::plan::Plan {
            steps: vec![Step {
                count: 1,
                need: cpu(500),
                estimate_ms: 100,
                ..Step::default()
            }],
            ..Default::default()
        },
    };
    let record = journal::submitted(JobId(5), &submission);
    let fx = tell(&mut holder, 10, Event::Journal(vec![(1, record)]));
    let (run, task) = fx
        .iter()
        .find_map(|e| match e {
            Effect::Start { run, order, .. } => Some((*run, order.task)),
            _ => None,
        })
        .expect("the task is started");
    let answer = StartAnswer::Unknown;
    let fx = tell(&mut holder, 130, Event::Started { run, answer });
    assert_eq!(starts(&fx), vec![run], "the same start goes out again");
    let answer = StartAnswer::Old;
    let mut fx = tell(&mut holder, 132, Event::Started { run, answer });
    for ms in 133..300 {
        assert_eq!(starts(&fx), Vec::new(), "started elsewhere at {ms} ms");
        fx.extend(holder.decide(at(ms), EPOCH + ms));
    }
    let end = EndRow {
        number: 1,
        task,
        attempt: 1,
        how: How::Done,
        saved: "".into(),
    };
    let key = *looks(&fx).last().expect("a look is to tell");
    let answer = Ok(look(vec![end]));
    let fx = tell(&mut holder, 301, Event::Looked { key, answer });
    assert_eq!(starts(&fx), Vec::new(), "its end was good");
    let stored = |e: &Effect| matches!(e, Effect::Append(_));
    assert!(fx.iter().any(stored), "the end of the job is stored");
}
