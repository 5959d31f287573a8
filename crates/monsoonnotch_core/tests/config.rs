//! Tests of the operators' configuration: versions, conflicting changes, history, key hashes
//! and names.

use monsoonnotch_core::config::Change;
use monsoonnotch_core::config::ChangeOutcome;
use monsoonnotch_core::config::Config;
use monsoonnotch_core::config::KeyHash;
use monsoonnotch_core::config::NO_VERSION;
use monsoonnotch_core::config::Profile;
use monsoonnotch_core::config::RECENT_MAX;
use monsoonnotch_core::config::Setting;
use monsoonnotch_core::config::Stamp;
use monsoonnotch_core::config::Team;
use monsoonnotch_core::config::TeamKey;
use monsoonnotch_core::config::WITHDRAWN_MAX;
use monsoonnotch_core::config::is_valid_name;
use monsoonnotch_core::config::utc;
use monsoonnotch_core::ident::Name;
use monsoonnotch_core::record;
use rstest::rstest;

fn team(limit: u32) -> Team {
    Team {
        account: Name::from("acme"),
        share: 1,
        limit,
    }
}

fn set_team(replaces: u64, limit: u32) -> Change {
    Change::new(replaces, Setting::Team(Name::from("hall"), team(limit)))
}

fn grant(id: &str, secret: &str) -> Change {
    let key = TeamKey {
        team: Name::from("hall"),
        hash: KeyHash::of(secret),
        withdrawn: false,
    };
    Change::new(NO_VERSION, Setting::Key(Name::from(id), key))
}

fn withdraw(id: &str, replaces: u64) -> Change {
    Change::new(replaces, Setting::Withdraw(Name::from(id)))
}

#[test]
fn a_conflicting_change_is_rejected_with_the_current_version() {
    let mut config = Config::default();
    assert_eq!(
        config.apply(4, &set_team(NO_VERSION, 1)),
        ChangeOutcome::Applied(5)
    );
    assert_eq!(
        config.apply(5, &set_team(NO_VERSION, 2)),
        ChangeOutcome::Conflict(5)
    );
    assert_eq!(config.apply(6, &set_team(5, 3)), ChangeOutcome::Applied(7));
    assert_eq!(config.apply(7, &set_team(5, 4)), ChangeOutcome::Conflict(7));
    assert_eq!(config.teams["hall"].value.limit, 3);
    let outcomes: Vec<ChangeOutcome> = config.recent.iter().map(|p| p.outcome).collect();
    let (applied, conflict) = (ChangeOutcome::Applied, ChangeOutcome::Conflict);
    assert_eq!(outcomes, [applied(5), conflict(5), applied(7), conflict(7)]);
}

#[test]
fn an_object_keeps_the_stamp_of_the_change_that_set_it() {
    let mut config = Config::default();
    let by = |name: &str| Stamp {
        by: Name::from(name),
        entry: Name::from("10.0.1.5:7101"),
        at_unix: 1_700_000_000,
    };
    let mut first = set_team(NO_VERSION, 1);
    first.stamp = by("anna");
    let mut second = set_team(NO_VERSION, 2);
    second.stamp = by("jun");
    config.apply(0, &first);
    config.apply(1, &second);
    let stamp = &config.teams["hall"].stamp;
    let text = "by anna at 2023-11-14T22:13:20Z through 10.0.1.5:7101";
    assert_eq!(stamp.to_string(), text);
    assert_eq!(config.recent[1].stamp.by, "jun");
}

#[test]
fn a_withdrawn_key_is_never_valid_again() {
    let mut config = Config::default();
    let (correct, wrong) = (KeyHash::of("secret"), KeyHash::of("other"));
    assert_eq!(
        config.apply(0, &grant("k", "secret")),
        ChangeOutcome::NoSuchTeam
    );
    config.apply(1, &set_team(NO_VERSION, 1));
    assert_eq!(
        config.apply(2, &grant("k", "secret")),
        ChangeOutcome::Applied(3)
    );
    assert_eq!(
        config.team_of("k", &correct).map(Name::as_str),
        Some("hall")
    );
    assert_eq!(config.team_of("k", &wrong), None);
    assert_eq!(config.team_of("j", &correct), None);
    assert_eq!(
        config.apply(3, &withdraw("k", 2)),
        ChangeOutcome::Conflict(3)
    );
    assert_eq!(config.apply(4, &withdraw("j", 3)), ChangeOutcome::NoSuchKey);
    assert_eq!(
        config.apply(5, &withdraw("k", 3)),
        ChangeOutcome::Applied(6)
    );
    assert_eq!(config.team_of("k", &correct), None);
    assert_eq!(
        config.apply(6, &grant("k", "secret")),
        ChangeOutcome::Conflict(6)
    );
    assert_eq!(config.team_of("k", &correct), None);
}

#[test]
fn history_and_withdrawn_keys_stay_bounded() {
    let mut config = Config::default();
    config.apply(0, &set_team(NO_VERSION, 1));
    let keys = WITHDRAWN_MAX as u64 + 10;
    let mut offset = 1;
    for n in 0..keys {
        let id = format!("k{n}");
        config.apply(offset, &grant(&id, "secret"));
        config.apply(offset + 1, &withdraw(&id, offset + 1));
        offset += 2;
    }
    config.apply(offset, &grant("live", "secret"));
    assert_eq!(config.recent.len(), RECENT_MAX);
    assert_eq!(config.recent.back().map(|p| p.version), Some(offset + 1));
    assert_eq!(config.keys.len(), WITHDRAWN_MAX + 1);
    assert!(!config.keys.contains_key("k9"));
    assert!(config.keys.contains_key("k10"));
    assert!(config.team_of("k9", &KeyHash::of("secret")).is_none());
    assert!(config.team_of("live", &KeyHash::of("secret")).is_some());
}

#[test]
fn a_key_hash_is_redacted_in_json_and_debug_output_but_not_in_records() {
    let mut config = Config::default();
    config.apply(0, &set_team(NO_VERSION, 1));
    config.apply(1, &grant("k", "secret"));
    let profile = Setting::Profile(Name::from("check"), Profile::default());
    config.apply(2, &Change::new(NO_VERSION, profile));
    let text = serde_json::to_string(&config).expect("the configuration is serializable as JSON");
    assert!(text.contains("\"hash\":\"(redacted)\""), "{text}");
    let decoded: Config =
        record::decode(&record::encode(&config)).expect("an encoded configuration can be decoded");
    assert_eq!(decoded, config);
    assert!(decoded.team_of("k", &KeyHash::of("secret")).is_some());
    assert_eq!(format!("{:?}", KeyHash::of("secret")), "KeyHash(..)");
}

#[rstest]
#[case(0, "1970-01-01T00:00:00Z")]
#[case(951_782_400, "2000-02-29T00:00:00Z")]
#[case(1_709_251_199, "2024-02-29T23:59:59Z")]
#[case(1_767_225_600, "2026-01-01T00:00:00Z")]
#[case(4_107_542_400, "2100-03-01T00:00:00Z")]
fn formats_unix_seconds_as_a_utc_date(#[case] unix: u64, #[case] date: &str) {
    assert_eq!(utc(unix), date);
}

#[rstest]
#[case("hall", true)]
#[case("fd-1.a_B", true)]
#[case("", false)]
#[case("..", false)]
#[case("a/b", false)]
#[case("a b", false)]
#[case("grün", false)]
fn valid_names_need_no_escaping_in_a_path(#[case] name: &str, #[case] valid: bool) {
    assert_eq!(is_valid_name(name), valid);
    assert!(!is_valid_name(&"x".repeat(65)));
}
