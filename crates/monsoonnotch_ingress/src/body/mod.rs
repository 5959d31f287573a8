//! Receiving of a request's body into memory that was taken before.
//!
//! The bytes are copied into one buffer, so that what a body costs does not depend on the pieces in which
//! it arrives.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::accounts::Turn;
use crate::budget::Connection;
use crate::budget::Share;
use crate::report::Cause;

/// Largest number of chunks in a body. Each costs the library about as much as a read of many bytes.
pub const CHUNKS_MAX: usize = 8_192;
/// Number of times that a body's progress is looked at until its timeout.
const CHECKS: u32 = 8;

/// Why a body was not received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// It is larger than permitted, or came in too many chunks.
    TooLarge,
    /// It did not arrive in time, or could not.
    TooSlow,
    /// It was cut off, or its encoding is malformed.
    Malformed,
    /// There is no memory for it now; the client may come back.
    NoMemory,
}

/// A complete body, and the memory that it takes.
#[derive(Debug)]
pub struct Received {
    /// The bytes.
    pub bytes: Bytes,
    /// Their memory.
    pub share: Share,
}

/// Receives a body of at most `bytes_max` bytes within `timeout`.
///
/// # Errors
///
/// Returns an error when the body is not received; the request had no effect then.
pub async fn receive(
    connection: &Connection,
    body: Incoming,
    bytes_max: usize,
    timeout: Duration,
) -> Result<Received, Error> {
    let received = receive_bytes(connection, body, bytes_max, timeout).await;
    let received = received.map_err(|(error, cause)| {
        if let Some(cause) = cause {
            connection.budget().report(cause);
        }
        error
    })?;
    connection.begin_turn(Turn::Process);
    Ok(received)
}

async fn receive_bytes(
    connection: &Connection,
    mut body: Incoming,
    bytes_max: usize,
    timeout: Duration,
) -> Result<Received, (Error, Option<Cause>)> {
    let too_large = (Error::TooLarge, Some(Cause::BodyTooLarge));
    let hint = body.size_hint();
    let expected = hint
        .exact()
        .map(|n| usize::try_from(n).unwrap_or(usize::MAX));
    if expected.is_some_and(|n| n > bytes_max) {
        return Err(too_large);
    }
    let capacity = expected.unwrap_or(bytes_max);
    let taken = connection.take(capacity as u64).await;
    let taken = taken.ok_or((Error::NoMemory, Some(Cause::NoMemory)))?;
    let mut buf = Vec::with_capacity(capacity);
    let mut progress = Progress::new(expected, timeout);
    let mut chunks = 0;
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = tokio::time::sleep_until(progress.next_check()) => {
                if progress.is_hopeless(buf.len()) {
                    return Err((Error::TooSlow, Some(Cause::BodyLate)));
                }
                continue;
            }
            // It was reported when it was chosen.
            () = connection.ended() => return Err((Error::NoMemory, None)),
        };
        let Some(frame) = frame else {
            break;
        };
        let frame = frame.map_err(|_| (Error::Malformed, None))?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if buf.len() + data.len() > capacity {
            return Err(too_large);
        }
        buf.extend_from_slice(data);
        chunks += 1;
        if expected.is_none() && chunks > CHUNKS_MAX {
            return Err((Error::TooLarge, Some(Cause::BodyInChunks)));
        }
    }
    buf.shrink_to_fit();
    let share = taken.detach(buf.len() as u64);
    Ok(Received {
        bytes: buf.into(),
        share,
    })
}

/// Whether a body can still arrive in time.
#[derive(Debug)]
struct Progress {
    /// Size of the body, if it is known.
    expected: Option<usize>,
    began: Instant,
    timeout: Duration,
    checks: u32,
}

impl Progress {
    fn new(expected: Option<usize>, timeout: Duration) -> Self {
        Self {
            expected,
            began: Instant::now(),
            timeout,
            checks: 0,
        }
    }

    fn next_check(&self) -> Instant {
        self.began + self.timeout * (self.checks + 1) / CHECKS
    }

    /// Returns whether the body cannot arrive in time, of which `received` bytes have arrived.
    fn is_hopeless(&mut self, received: usize) -> bool {
        // Time in which the process did not run does not count.
        self.began += self.next_check().elapsed();
        self.checks += 1;
        self.checks >= CHECKS || is_hopeless(received, self.expected, self.checks, CHECKS)
    }
}

/// Returns whether a body of `expected` bytes, of which `received` have arrived after `elapsed` of
/// `total` parts of its time, cannot arrive in time at its rate. The first half of the time does not
/// count, because a connection may pause.
pub fn is_hopeless(received: usize, expected: Option<usize>, elapsed: u32, total: u32) -> bool {
    let Some(expected) = expected else {
        return false;
    };
    let at_the_end = received as u128 * u128::from(total);
    elapsed * 2 >= total && at_the_end < expected as u128 * u128::from(elapsed)
}
