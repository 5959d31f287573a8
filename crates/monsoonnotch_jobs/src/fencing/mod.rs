//! Fencing tokens of the orders to VMs.
//!
//! A VM refuses an order whose token is lower than one that it has seen, and forgets the tokens
//! when it restarts. The token of an order therefore grows with the leader's term and, within a
//! term, with each restart of the VM that the leader learns of. Once the new incarnation has
//! answered, it refuses what was sent to the previous one and is still in transit: a late order
//! neither starts a run there, nor extends its lease, nor acknowledges its finished runs.

/// Number of restarts of one VM in a term that tokens can tell apart. For 2^33 terms they stay
/// below 2^53, up to which JSON exchanges numbers exactly.
pub const RESTARTS_MAX: u32 = (1 << 20) - 1;
/// Number of tokens that a term has for each VM.
const TOKENS_PER_TERM: u64 = RESTARTS_MAX as u64 + 1;

/// Returns the token of an order to a VM that has restarted `restarts` times in the leader term
/// with token `term`.
pub fn order_token(term: u64, restarts: u32) -> u64 {
    term * TOKENS_PER_TERM + u64::from(restarts.min(RESTARTS_MAX))
}
