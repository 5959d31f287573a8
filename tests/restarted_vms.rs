//! Runs members as real processes beside a VM that restarts under its id, while an order to its
//! previous incarnation is in transit.
//!
//! The platform executes an order without an answer up to 12 s late, in whichever incarnation is there
//! then. Nothing that the leader counts with may come from such an order.

use std::path::PathBuf;
use std::time::Duration;

use monsoonnotch_adapter_standins::member::Member;
use monsoonnotch_adapter_standins::network::DELEGATE;
use monsoonnotch_adapter_standins::network::Network;
use monsoonnotch_adapter_standins::site::Site;
use monsoonnotch_adapter_standins::site::job_body;
use monsoonnotch_adapter_standins::site::run_job;
use monsoonnotch_adapter_standins::vm::Order;
use monsoonnotch_standins::caller::wait_until;
use rstest::rstest;

/// Number of members.
const MEMBERS: usize = 3;
/// Time for which the first incarnation runs, so that its clock is ahead of that of the second.
const FIRST_INCARNATION: Duration = Duration::from_secs(6);
/// How late the order is executed.
const LATE: Duration = Duration::from_secs(5);
/// Longest lease that a leader asks for, with the time that its order takes.
const LEASE_MAX: Duration = Duration::from_millis(4_100);

/// A site with one VM and its members.
struct Fleet {
    site: Site,
    members: Vec<Member>,
    dir: PathBuf,
    _network: Network,
}

impl Fleet {
    async fn start(name: &str, tuning: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("members-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let site = Site::start(1).await;
        let (network, mut members) = Network::start(&site, MEMBERS, &dir, tuning).await;
        let program = env!("CARGO_BIN_EXE_monsoonnotch");
        members.iter_mut().for_each(|m| m.start(program));
        Self {
            site,
            members,
            dir,
            _network: network,
        }
    }

    /// Has a job of four tasks run.
    async fn run_job(&self, id: &str) {
        run_job(
            self.members[0].callers,
            "key-a",
            id,
            &job_body(&[4], 500, 200),
        )
        .await;
    }

    /// Restarts the VM once the order is in transit that it is to execute late, and waits until the
    /// leader has reached the new incarnation.
    async fn restart_beside_late_order(&self) {
        let vm = &self.site.vms[0];
        let in_transit = || async { vm.has_delayed() };
        wait_until("the order is in transit", in_transit).await;
        vm.restart();
        let has_lease = || async { !vm.lease_left().is_zero() };
        wait_until("the new incarnation has a lease", has_lease).await;
    }

    /// Returns the violations that the VMs have seen.
    fn violations(&self) -> Vec<String> {
        let checker = self.site.checker.lock();
        checker
            .expect("no panic while it was locked")
            .violations
            .clone()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // A folder that is left over does no harm.
        drop(std::fs::remove_dir_all(&self.dir));
    }
}

/// Guards against two runs of one task (review/7): a late poll gives the next incarnation the longest
/// lease, because its end was computed from the clock of the previous one. Behind a cut, tasks would
/// run on while the leader starts them elsewhere.
#[rstest]
#[case::of_the_leader("late-poll", "")]
#[case::of_an_executor("late-poll-executor", DELEGATE)]
#[tokio::test(flavor = "multi_thread")]
async fn a_late_poll_gives_the_next_incarnation_no_lease(#[case] name: &str, #[case] tuning: &str) {
    let fleet = Fleet::start(name, tuning).await;
    let vm = &fleet.site.vms[0];
    fleet.run_job("00000000000000e1").await;
    tokio::time::sleep(FIRST_INCARNATION).await;
    vm.delay_next(Order::LeasePoll, LATE);
    fleet.restart_beside_late_order().await;
    vm.executed_late(1).await;
    let left = vm.lease_left();
    assert!(left <= LEASE_MAX, "its lease lasts for {left:?}");
}

/// Guards against a task that runs again after its success: its start was sent twice, and the first
/// send reaches the next incarnation, which knows no attempt of it.
#[rstest]
#[case::of_the_leader("late-start", "")]
#[case::of_an_executor("late-start-executor", DELEGATE)]
#[tokio::test(flavor = "multi_thread")]
async fn a_late_start_begins_nothing_in_the_next_incarnation(
    #[case] name: &str,
    #[case] tuning: &str,
) {
    let fleet = Fleet::start(name, tuning).await;
    let vm = &fleet.site.vms[0];
    fleet.run_job("00000000000000e2").await;
    tokio::time::sleep(FIRST_INCARNATION).await;
    vm.delay_next(Order::Start, LATE);
    fleet.run_job("00000000000000e3").await;
    fleet.restart_beside_late_order().await;
    vm.executed_late(1).await;
    assert_eq!(fleet.violations(), Vec::<String>::new());
}

/// Guards against a VM that stays unused for seconds after a restart, although it refuses whatever is
/// still in transit: a late poll acknowledges finished runs of the previous incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_vm_is_used_at_once_beside_a_late_acknowledgement() {
    let fleet = Fleet::start("late-acknowledgement", "").await;
    let vm = &fleet.site.vms[0];
    fleet.run_job("00000000000000e4").await;
    vm.delay_next(Order::LeasePoll, LATE);
    fleet.restart_beside_late_order().await;
    fleet.run_job("00000000000000e5").await;
    assert!(
        vm.late_orders() == 0,
        "the VM was not used before the late order"
    );
    vm.executed_late(1).await;
    assert_eq!(fleet.violations(), Vec::<String>::new());
}
