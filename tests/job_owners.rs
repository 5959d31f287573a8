//! Whom a job belongs to and who may see it, with members as real processes, while operators change keys and queues.

use std::net::SocketAddr;
use std::path::PathBuf;

use monsoonnotch_adapter_standins::member::Member;
use monsoonnotch_adapter_standins::site::Site;
use monsoonnotch_adapter_standins::site::long_lived_job_body;
use monsoonnotch_adapter_standins::site::parse_state;
use monsoonnotch_standins::caller::send_request;
use monsoonnotch_standins::caller::wait_until;
use serde_json::Value;
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_monsoonnotch");
const JOB: &str = "/jobs/5c0e7a21d94b36f8";

/// A queue of a configuration: its name, and whether it is open to callers without a key.
type Queue = (&'static str, bool);
/// An account with its keys.
type Account = (&'static str, &'static [&'static str]);

/// A site with two members, and the version of its configuration.
struct Setting {
    site: Site,
    members: Vec<Member>,
    version: u64,
    dir: PathBuf,
}

impl Setting {
    async fn start(name: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("owners-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let site = Site::start(3).await;
        let mut members = Vec::new();
        for number in 0..2 {
            let mut member = Member::new(number, site.store.addr(), &dir, "").await;
            member.start(PROGRAM);
            members.push(member);
        }
        Self {
            site,
            members,
            version: 1,
            dir,
        }
    }

    /// Publishes a configuration with a queue for the paths under `/jobs/`, and waits until all members have it.
    async fn publish(&mut self, queue: Queue, accounts: &[Account]) {
        self.version += 1;
        let (name, open) = queue;
        let account =
            |(name, keys): &Account| json!({"name": name, "api-keys": keys, "weight": 1_000});
        let tenants: Vec<Value> = accounts.iter().map(account).collect();
        let config = json!({
            "version": self.version,
            "routes": [{"name": name, "host": "test", "path-prefix": "/jobs/", "service": "pool",
                "priority": 0, "max-attempts": 9, "slack-factor": 2.0,
                "target-completion-ms": 500, "public": open}],
            "services": [{"name": "pool"}],
            "tenants": tenants,
        });
        let config = config.to_string();
        self.site.store.put("keyed.op", "config", config.as_bytes());
        let version = format!("\"version\":{}", self.version);
        let has_it = |m: &Member| {
            !m.log_lines(&["configuration in force", &version])
                .is_empty()
        };
        let in_force = || async { self.members.iter().all(has_it) };
        wait_until("the configuration is in force", in_force).await;
    }

    /// Sends a request about the job to each member; returns the status that all of them answer with.
    async fn send(&self, method: &str, key: Option<&str>) -> u16 {
        let mut statuses = Vec::new();
        for member in &self.members {
            statuses.push(send(member.callers, method, key, "").await.0);
        }
        assert!(statuses.windows(2).all(|s| s[0] == s[1]), "{statuses:?}");
        statuses[0]
    }

    /// Submits the job, which lasts, and waits until it runs.
    async fn submit(&self, key: Option<&str>) {
        let body = long_lived_job_body(2, 500);
        let addr = self.members[0].callers;
        let accepted = || async { send(addr, "POST", key, &body).await.0 == 200 };
        wait_until("the job is accepted", accepted).await;
        let active = || async { state(addr, key).await.as_deref() == Some("active") };
        wait_until("the job runs", active).await;
    }

    /// Replaces the leader by the other member, and returns once that serves.
    async fn change_leader(&mut self, key: Option<&str>) {
        let leads = |m: &Member| m.log_lines(&["term begins"]).len();
        let leader = usize::from(leads(&self.members[1]) > leads(&self.members[0]));
        self.members[leader].start(PROGRAM);
        let addrs: Vec<SocketAddr> = self.members.iter().map(|m| m.callers).collect();
        for addr in addrs {
            let serves = || async { matches!(send(addr, "GET", key, "").await.0, 200 | 403 | 410) };
            wait_until("the members serve", serves).await;
        }
    }
}

impl Drop for Setting {
    fn drop(&mut self) {
        // The logs of a failed test are kept.
        if !std::thread::panicking() {
            drop(std::fs::remove_dir_all(&self.dir));
        }
    }
}

async fn send(addr: SocketAddr, method: &str, key: Option<&str>, body: &str) -> (u16, Vec<u8>) {
    let key = key.map(|k| format!("Bearer {k}"));
    let mut headers = vec![("x-deadline-ms", "3000")];
    headers.extend(key.as_deref().map(|k| ("authorization", k)));
    let response = send_request(addr, method, JOB, &headers, body).await;
    response.map_or((0, Vec::new()), |r| (r.status, r.body))
}

async fn state(addr: SocketAddr, key: Option<&str>) -> Option<String> {
    parse_state(&send(addr, "GET", key, "").await.1)
}

/// Guards against an accepted job that its caller is told does not exist (410): its queue is open, and the key that came
/// with it was taken away, which its account then lost altogether.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_of_an_open_queue_is_there_after_its_key_is_taken_away() {
    let mut setting = Setting::start("open").await;
    setting
        .publish(("watch", true), &[("ann", &["key-old", "key-other"])])
        .await;
    setting.submit(Some("key-old")).await;
    setting
        .publish(("watch", true), &[("ann", &["key-other"])])
        .await;
    for key in [Some("key-old"), Some("key-other"), None] {
        assert_eq!(setting.send("GET", key).await, 200, "{key:?}");
    }
    setting.publish(("watch", true), &[("ann", &[])]).await;
    assert_eq!(setting.send("GET", Some("key-old")).await, 200);
    setting.change_leader(None).await;
    assert_eq!(
        setting.send("GET", Some("key-old")).await,
        200,
        "after a change of leader"
    );
    assert_eq!(setting.send("DELETE", Some("key-old")).await, 200);
    let addr = setting.members[0].callers;
    let cancelled = || async { state(addr, None).await.as_deref() == Some("cancelled") };
    wait_until("the job is cancelled", cancelled).await;
}

/// Guards against a job that changes hands with its key, or is cancelled by another account: the key is given to `bob`.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_stays_with_its_account_when_its_key_is_given_to_another() {
    let mut setting = Setting::start("given").await;
    setting
        .publish(
            ("batch", false),
            &[("ann", &["key-a"]), ("bob", &["key-b"])],
        )
        .await;
    setting.submit(Some("key-a")).await;
    assert_eq!(
        setting.send("GET", Some("key-b")).await,
        403,
        "another account"
    );
    setting
        .publish(
            ("batch", false),
            &[("ann", &["key-new"]), ("bob", &["key-a", "key-b"])],
        )
        .await;
    assert_eq!(
        setting.send("GET", Some("key-a")).await,
        403,
        "it is bob's key now"
    );
    assert_eq!(setting.send("GET", Some("key-new")).await, 200);
    assert_eq!(setting.send("DELETE", Some("key-a")).await, 403);
    // The caller did not get the first answer, and sends the job again.
    let addr = setting.members[1].callers;
    send(addr, "POST", Some("key-a"), &long_lived_job_body(2, 500)).await;
    setting.change_leader(Some("key-new")).await;
    assert_eq!(
        setting.send("GET", Some("key-new")).await,
        200,
        "after a change of leader"
    );
    assert_eq!(setting.send("GET", Some("key-a")).await, 403);
    assert_eq!(
        state(addr, Some("key-new")).await.as_deref(),
        Some("active")
    );
    assert_eq!(setting.send("DELETE", Some("key-new")).await, 200);
}

/// Guards against an accepted job that its caller is told does not exist (410) after its queue was opened, closed, taken
/// away, or replaced by one with another name.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_there_over_changes_of_its_queue() {
    const ACCOUNTS: &[Account] = &[("ann", &["key-a"]), ("bob", &["key-b"])];
    let mut setting = Setting::start("queue").await;
    setting.publish(("batch", false), ACCOUNTS).await;
    setting.submit(Some("key-a")).await;
    assert_eq!(setting.send("GET", None).await, 401);
    setting.publish(("batch", true), ACCOUNTS).await;
    for key in [Some("key-a"), Some("key-b"), None] {
        assert_eq!(setting.send("GET", key).await, 200, "open, {key:?}");
    }
    setting.publish(("renamed", true), ACCOUNTS).await;
    for key in [Some("key-a"), None] {
        assert_eq!(setting.send("GET", key).await, 200, "replaced, {key:?}");
    }
    setting.publish(("renamed", false), ACCOUNTS).await;
    assert_eq!(
        setting.send("GET", Some("key-a")).await,
        200,
        "replaced and closed"
    );
    assert_eq!(setting.send("GET", Some("key-b")).await, 403);
    assert_eq!(setting.send("GET", None).await, 401);
    setting.publish(("batch", false), ACCOUNTS).await;
    setting.change_leader(Some("key-a")).await;
    assert_eq!(setting.send("GET", Some("key-a")).await, 200, "as it was");
    assert_eq!(setting.send("DELETE", Some("key-a")).await, 200);
}

/// Guards against a 410 for what was stored, and against one that never comes: a job that was never submitted.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_was_never_submitted_is_not_there() {
    let mut setting = Setting::start("never").await;
    setting
        .publish(("watch", true), &[("ann", &["key-a"])])
        .await;
    let addr = setting.members[0].callers;
    let gone = || async { send(addr, "GET", Some("key-a"), "").await.0 == 410 };
    wait_until("the members serve", gone).await;
    for key in [Some("key-a"), Some("key-old"), None] {
        assert_eq!(setting.send("GET", key).await, 410, "{key:?}");
        assert_eq!(setting.send("DELETE", key).await, 410, "{key:?}");
    }
}
