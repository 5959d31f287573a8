//! Who may see and cancel a job, over changes of the configuration.

use compact_str::CompactString;
use monsoonnotch_jobs::access::Caller;
use monsoonnotch_jobs::site::ClientAccount;
use monsoonnotch_jobs::site::PublishedConfig;
use monsoonnotch_jobs::site::Queue;
use rstest::rstest;

/// Returns a configuration with the queues `open` and `closed` and the accounts `ann` and `bob`.
fn config() -> PublishedConfig {
    let mut config = PublishedConfig::default();
    for (name, open) in [("open", true), ("closed", false)] {
        let queue = Queue {
            open,
            ..Queue::default()
        };
        config.queues.insert(name.into(), queue);
    }
    for name in ["ann", "bob"] {
        config
            .accounts
            .insert(name.into(), ClientAccount::default());
    }
    config
}

fn caller(account: &str, open_queue: &str) -> Caller {
    Caller {
        account: account.into(),
        open_queue: open_queue.into(),
    }
}

/// Guards against an owner who loses a job, and against others who see it. Each case is a caller's account and open
/// queue, and a job's account and queue.
#[rstest]
#[case::its_owner(("ann", ""), ("ann", "closed"), true)]
#[case::its_owner_by_another_queue(("ann", "open"), ("ann", "closed"), true)]
#[case::its_owner_once_the_queue_is_gone(("ann", ""), ("ann", "gone"), true)]
#[case::another_account(("bob", ""), ("ann", "closed"), false)]
#[case::another_account_once_the_queue_is_gone(("bob", ""), ("ann", "gone"), false)]
#[case::anybody_on_an_open_queue(("", "open"), ("ann", "open"), true)]
#[case::another_account_on_an_open_queue(("bob", "open"), ("ann", "open"), true)]
#[case::a_job_of_a_closed_queue_by_an_open_one(("", "open"), ("ann", "closed"), false)]
#[case::a_queue_that_has_become_open(("bob", ""), ("ann", "open"), true)]
#[case::an_open_queue_in_place_of_another(("", "open"), ("ann", "gone"), true)]
#[case::a_job_without_an_account(("bob", ""), ("", "closed"), true)]
#[case::an_account_that_is_gone(("bob", ""), ("carl", "closed"), true)]
fn those_may_access_a_job_whom_it_concerns(
    #[case] by: (&str, &str),
    #[case] of: (&str, &str),
    #[case] may: bool,
) {
    let caller = caller(by.0, by.1);
    assert_eq!(caller.may_access(of.0, of.1, &config()), may);
}

/// Guards against a cancellation that one leader puts in force and the next does not: what is stored decides alone.
#[rstest]
#[case::its_owner(("ann", ""), ("ann", "closed"), true)]
#[case::anybody_on_an_open_queue(("", "open"), ("ann", "open"), true)]
#[case::a_job_without_an_account(("bob", ""), ("", "closed"), true)]
#[case::another_account(("bob", ""), ("ann", "closed"), false)]
#[case::another_open_queue(("", "open"), ("ann", "gone"), false)]
#[case::no_open_queue(("bob", ""), ("ann", ""), false)]
fn owners_are_the_same_under_every_configuration(
    #[case] by: (&str, &str),
    #[case] of: (&str, &str),
    #[case] owns: bool,
) {
    assert_eq!(caller(by.0, by.1).owns(of.0, of.1), owns);
}

/// Guards against a caller whose queue was lost on the way.
#[test]
fn a_caller_is_read_without_an_open_queue() {
    let stored = monsoonnotch_core::record::encode(&std::collections::BTreeMap::from([(
        CompactString::from("account"),
        CompactString::from("ann"),
    )]));
    let read: Option<Caller> = monsoonnotch_core::record::decode(&stored);
    assert_eq!(read, Some(caller("ann", "")));
}
