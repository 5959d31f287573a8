//! Tests of the tokens by which VMs refuse orders that are out of date.

use monsoonnotch_jobs::fencing::RESTARTS_MAX;
use monsoonnotch_jobs::fencing::order_token;
use rstest::rstest;

/// Guards against orders that a VM executes although they are out of date: every order of a later term
/// has a higher token, and so has every order after a further restart of the VM.
#[rstest]
#[case::first_term(1)]
#[case::many_terms((1 << 33) - 2)]
fn tokens_grow_with_terms_and_restarts(#[case] term: u64) {
    let tokens = [
        order_token(term, 0),
        order_token(term, 1),
        order_token(term, RESTARTS_MAX),
        order_token(term + 1, 0),
    ];
    assert!(tokens.is_sorted_by(|a, b| a < b), "{tokens:?}");
    assert!(tokens[3] < 1 << 53, "JSON does not exchange it exactly");
}
