//! Settings files: what is missing or wrong is named.

use monsoonnotch_member::settings::Settings;
use rstest::rstest;

const SOUND: &str = r#"
[member]
name = "m-1"
domain = "a"
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"
metrics = "127.0.0.1:4"
cores = 0.25

[services]
store = "127.0.0.1:5"
something_new = true

[times]
lease_max = 10000
keep_ended_s = 120
grace_s = 6
"#;

#[test]
fn a_sound_file_is_read_and_what_is_not_known_is_ignored() {
    let settings = Settings::parse("f", SOUND).expect("sound settings");
    assert_eq!(settings.member.name, "m-1");
    assert!(!settings.holder_tuning().approvals);
}

#[test]
fn a_lease_is_never_longer_than_vms_grant() {
    let text = SOUND.replace("lease_max = 10000", "lease_max = 2500");
    let settings = Settings::parse("f", &text).expect("sound settings");
    assert_eq!(settings.holder_tuning().lease.as_millis(), 2_500);
}

#[rstest]
#[case::missing("grace_s = 6", "", "grace_s")]
#[case::no_address("127.0.0.1:5", "store", "store")]
#[case::zero("lease_max = 10000", "lease_max = 0", "times.lease_max")]
#[case::hasty("[times]", "[tuning]\nsuspect_ms = 100\n[times]", "tuning.suspect_ms")]
#[case::short_lease("[times]", "[tuning]\nlease_ms = 10\n[times]", "tuning.lease_ms")]
fn what_is_wrong_is_named(#[case] from: &str, #[case] to: &str, #[case] named: &str) {
    let text = SOUND.replace(from, to);
    let error = Settings::parse("f", &text)
        .expect_err("wrong settings")
        .to_string();
    assert!(error.contains(named), "{error}");
}
