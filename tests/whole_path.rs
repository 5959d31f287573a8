//! End-to-end test with real processes: requests, a job and a graceful shutdown.

use monsoonnotch_standins::prelude::*;

const PROGRAMS: Programs = Programs {
    entry: env!("CARGO_BIN_EXE_monsoonnotch"),
    ctl: env!("CARGO_BIN_EXE_monsoonctl"),
};

#[tokio::test(flavor = "multi_thread")]
async fn three_entries_answer_requests_run_a_job_and_stop() {
    let platform = Platform::start(6, PROGRAMS).await;
    let mut entries: Vec<_> = ["fd-0", "fd-1", "fd-2"]
        .iter()
        .map(|d| platform.start_entry(d))
        .collect();
    for e in &entries {
        wait_ready(e).await;
    }
    entries[0].publish_profile("check", "lane = \"short\"\nrepeatable = true\n");
    entries[0].publish_profile("night", "lane = \"batch\"\n");
    entries[0].set_team("hall", 1, 30);
    let key = entries[0].grant_key("hall");

    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("profile", "check"),
        ("x-request-id", "abc"),
    ];
    for e in &entries {
        wait_until("a request is answered", || async {
            let response = send_request(e.callers, "POST", "/street/7", &headers, "hello").await;
            response.is_some_and(|a| a.status == 200 && a.body == b"/street/7\nhello")
        })
        .await;
    }
    let response = send_request(entries[1].callers, "GET", "/x", &headers, "").await;
    let response = response.expect("a response");
    assert_eq!(response.headers["x-request-id"], "abc");

    let args = ["job", "submit", "--team", "hall", "--profile", "night"];
    let args = [&args[..], &["--count", "5", "--command", "run:100"]].concat();
    wait_until("a job can be accepted", || async {
        entries[1].ctl(&args).status.success()
    })
    .await;
    let job = entries[1].ctl_json(&args);
    let id = job["id"].as_str().expect("an identifier").to_owned();
    wait_until("the job is done", || async {
        entries[2].ctl_json(&["job", "show", &id])["phase"] == "done"
    })
    .await;

    for e in &mut entries {
        e.signal("TERM");
        assert!(e.exits_successfully(), "the stop is not graceful");
    }
    assert_eq!(platform.checker.violations(), []);
}
