//! The cluster under test: stand-ins of the platform, entries, profiles, and one team with its key.

use std::net::SocketAddr;
use std::time::Duration;

use monsoonnotch_standins::prelude::*;

pub(crate) const PROGRAMS: Programs = Programs {
    entry: env!("CARGO_BIN_EXE_monsoonnotch"),
    ctl: env!("CARGO_BIN_EXE_monsoonctl"),
};

/// A profile whose requests run at most once.
const HOLD: &str = "lane = \"short\"\ntimeout_ms = 2000\n";
/// A profile whose requests may be repeated.
const CHECK: &str = "lane = \"short\"\nrepeatable = true\ntimeout_ms = 2000\nmax_attempts = 3\n";
/// A profile for requests that take up to a minute.
const WATCH: &str = "lane = \"short\"\ntimeout_ms = 60000\n";
/// The failure domains that are assigned to the entries round-robin.
const DOMAINS: [&str; 3] = ["fd-0", "fd-1", "fd-2"];

pub(crate) struct Site {
    pub(crate) platform: Platform,
    pub(crate) entries: Vec<EntryProcess>,
    pub(crate) key: String,
    bearer: String,
}

impl Site {
    /// Starts `n` entries with the additional settings `more` and publishes the profiles, the team
    /// and its key.
    pub(crate) async fn start(platform: Platform, n: usize, more: &str) -> Self {
        let domains = DOMAINS.iter().cycle().take(n);
        let entries: Vec<EntryProcess> = domains
            .map(|d| platform.start_entry_with(d, more))
            .collect();
        Self::with(platform, entries).await
    }

    /// Publishes the profiles, the team and its key at entries that already run.
    pub(crate) async fn with(platform: Platform, entries: Vec<EntryProcess>) -> Self {
        for e in &entries {
            wait_ready(e).await;
        }
        entries[0].publish_profile("hold", HOLD);
        entries[0].publish_profile("check", CHECK);
        entries[0].publish_profile("watch", WATCH);
        entries[0].set_team("hall", 1, 300);
        let key = entries[0].grant_key("hall");
        let site = Self {
            bearer: format!("Bearer {key}"),
            platform,
            entries,
            key,
        };
        for e in &site.entries {
            wait_until("an entry accepts the key", || {
                site.accepts_key(e.callers, &site.bearer)
            })
            .await;
        }
        site
    }

    /// Returns whether an entry answers a request that carries a key with status 200.
    pub(crate) async fn accepts_key(&self, entry: SocketAddr, bearer: &str) -> bool {
        let headers = [("authorization", bearer), ("profile", "check")];
        let response = send_request(entry, "GET", "/", &headers, "").await;
        response.is_some_and(|a| a.status == 200)
    }

    /// Returns the address at which entry `i` accepts callers.
    pub(crate) fn addr(&self, i: usize) -> SocketAddr {
        self.entries[i].callers
    }

    /// Returns the addresses at which the entries accept callers.
    pub(crate) fn addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|e| e.callers).collect()
    }

    /// Sends a request under a profile with additional headers.
    pub(crate) async fn send(
        &self,
        entry: SocketAddr,
        method: &str,
        profile: &str,
        more: &[(&str, &str)],
    ) -> Option<Response> {
        let base = [
            ("authorization", self.bearer.as_str()),
            ("profile", profile),
        ];
        let headers = [&base[..], more].concat();
        send_request(entry, method, "/street/7", &headers, "a body").await
    }

    /// Returns the plan of a load of requests that each take 20 ms.
    pub(crate) fn plan(&self, profile: &str, callers: usize) -> Plan {
        let headers = [
            ("authorization", self.bearer.as_str()),
            ("profile", profile),
        ];
        Plan {
            callers,
            prefix: String::new(),
            headers: headers.map(|(n, v)| (n.to_owned(), v.to_owned())).to_vec(),
            work_ms: 20,
            chunks: 0,
            timeout: Duration::from_secs(20),
            pause: Duration::from_millis(10),
        }
    }
}

/// Returns the number of a refusal's reason; `None` if the body is not a refusal.
pub(crate) fn reason(a: &Response) -> Option<u64> {
    let v: serde_json::Value = serde_json::from_slice(&a.body).ok()?;
    v["reason"].as_u64()
}

/// Starts a platform with one worker behind a fault-injecting proxy.
pub(crate) async fn start_proxied_platform() -> (Platform, FaultProxy) {
    let platform = Platform::start(1, PROGRAMS).await;
    let proxy = platform.proxy_worker(0).await;
    (platform, proxy)
}
