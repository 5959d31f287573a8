//! Checks beyond the form of the file.

use super::Error;
use super::Settings;

/// Longest text of a settings value that has one fixed length.
const SHA256_HEX_LEN: usize = 64;

/// Names the line of an error of form.
pub(super) fn form(path: &str, text: &str, err: &toml::de::Error) -> Error {
    let at = err.span().map_or(0, |s| s.start);
    let line = text[..at.min(text.len())].matches('\n').count() + 1;
    Error::Form(path.to_owned(), line, err.message().to_owned())
}

/// Checks the ranges of all values.
pub(super) fn values(path: &str, text: &str, s: &Settings) -> Result<(), Error> {
    let check = |key: &'static str, ok: bool, advice: &str| match ok {
        true => Ok(()),
        false => {
            let line = line_of(text, key);
            Err(Error::Value(path.to_owned(), line, key, advice.to_owned()))
        }
    };
    let hex = hex::decode(&s.operators.token_sha256);
    let token_ok = hex.is_ok() && s.operators.token_sha256.len() == SHA256_HEX_LEN;
    let e = &s.entry;
    let l = &s.limits;
    let t = &s.timing;
    check(
        "token_sha256",
        token_ok,
        "must be 64 hexadecimal digits; use sha256sum on the token",
    )?;
    check(
        "failure_domain",
        !e.failure_domain.is_empty(),
        "must not be empty; name the zone",
    )?;
    check(
        "threads",
        (1..=256).contains(&e.threads),
        "must be 1 to 256 threads",
    )?;
    check(
        "head_bytes",
        (1_024..=1 << 20).contains(&l.head_bytes),
        "must be 1024 to 1048576 bytes",
    )?;
    check(
        "body_bytes",
        (1..=1 << 30).contains(&l.body_bytes),
        "must be 1 to 1073741824 bytes",
    )?;
    check(
        "receive_ms",
        (100..=600_000).contains(&l.receive_ms),
        "must be 100 to 600000 ms",
    )?;
    check(
        "connections",
        (1..=1 << 20).contains(&l.connections),
        "must be 1 to 1048576",
    )?;
    check(
        "queue",
        (1..=1 << 20).contains(&l.queue),
        "must be 1 to 1048576 requests",
    )?;
    let span = |ms: u64| (10..=60_000).contains(&ms);
    check(
        "platform_timeout_ms",
        span(t.platform_timeout_ms),
        "must be 10 to 60000 ms",
    )?;
    check("vms_ms", span(t.vms_ms), "must be 10 to 60000 ms")?;
    check("connect_ms", span(t.connect_ms), "must be 10 to 60000 ms")?;
    check(
        "shutdown_ms",
        (100..=3_600_000).contains(&t.shutdown_ms),
        "must be 100 to 3600000 ms",
    )?;
    check(
        "snapshot_every",
        (10..=1_000_000).contains(&t.snapshot_every),
        "must be 10 to 1000000",
    )?;
    let addrs = [e.callers, e.operators, e.peers];
    let fixed: Vec<_> = addrs.iter().filter(|a| a.port() != 0).collect();
    let twice = |i: usize| fixed[..i].contains(&fixed[i]);
    let distinct = !(0..fixed.len()).any(twice);
    check(
        "callers",
        distinct,
        "must differ from 'operators' and 'peers'; give each its own port",
    )?;
    check(
        "peers",
        !e.peers.ip().is_unspecified(),
        "must be an IP address that peers can reach",
    )
}

/// The line that sets a key, or 1.
fn line_of(text: &str, key: &str) -> usize {
    let sets = |l: &str| {
        l.trim_start()
            .strip_prefix(key)
            .is_some_and(|r| r.trim_start().starts_with('='))
    };
    text.lines().position(sets).map_or(1, |i| i + 1)
}
