//! Writes to an upstream when the write window expires or the process is paused.
//!
//! A process that is paused between the check of the window and the write that follows writes the
//! request too late. The request must then count as one that may have run.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use hyper::rt::Write;
use monsoonnotch_core::time::Duration as Span;
use monsoonnotch_core::time::Time;
use monsoonnotch_entry::clock::Clock;
use monsoonnotch_entry::upstream::write_window::Window;
use monsoonnotch_entry::upstream::write_window::WindowedIo;
use monsoonnotch_entry::upstream::write_window::WriteProgress;
use rstest::rstest;

/// A writer that accepts all bytes after a sleep, which stands for a pause of the process.
struct PausingWriter {
    pause: Duration,
}

impl Write for PausingWriter {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::thread::sleep(self.pause);
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// A time that no test reaches, in microseconds.
const FAR: u64 = 3_600_000_000;

#[rstest]
#[case::in_time(0, FAR, FAR, (true, true, false))]
#[case::expired_before(0, 0, FAR, (false, false, true))]
#[case::paused_across_the_check(300, FAR, 200_000, (false, true, true))]
fn reports_whether_a_write_may_have_arrived(
    #[case] pause_ms: u64,
    #[case] begin: u64,
    #[case] end: u64,
    #[case] done_any_expired: (bool, bool, bool),
) {
    let progress = WriteProgress::default();
    let pause = Duration::from_millis(pause_ms);
    let window = Window {
        begin_before: Time(begin),
        end_before: Time(end),
    };
    let writer = PausingWriter { pause };
    let mut conn = WindowedIo::new(writer, Clock::default(), window, progress.clone());
    let mut cx = Context::from_waker(Waker::noop());
    let wrote = Pin::new(&mut conn).poll_write(&mut cx, b"GET / HTTP/1.1");
    let done = matches!(wrote, Poll::Ready(Ok(14)));
    assert_eq!((done, progress.any(), progress.expired()), done_any_expired);
}

#[test]
fn rejects_body_writes_after_the_window_expired() {
    let progress = WriteProgress::default();
    let pause = Duration::ZERO;
    let clock = Clock::default();
    let soon = clock.now() + Span::from_millis(200);
    let window = Window {
        begin_before: soon,
        end_before: soon,
    };
    let mut conn = WindowedIo::new(PausingWriter { pause }, clock, window, progress.clone());
    let mut cx = Context::from_waker(Waker::noop());
    let head = Pin::new(&mut conn).poll_write(&mut cx, b"head");
    assert!(matches!(head, Poll::Ready(Ok(4))));
    std::thread::sleep(Duration::from_millis(300));
    let body = Pin::new(&mut conn).poll_write(&mut cx, b"body");
    assert!(matches!(body, Poll::Ready(Err(_))));
    assert!(progress.any() && progress.expired());
}
