//! Rate-limited, non-blocking logging to standard output, one JSON object per line.
//!
//! A bounded channel passes the lines to a thread that writes them. Lines beyond the
//! limit per second, and lines that find the channel full, are dropped and counted; the
//! count is logged in a line of its own.

use std::io::Write;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use std::time::Instant;

use logforth::Append;
use logforth::Diagnostic;
use logforth::Layout;
use logforth::layout::JsonLayout;
use logforth::record::Level;
use logforth::record::LevelFilter;
use logforth::record::Record;

/// Number of warnings and errors per second that are allowed beyond the limit on all lines.
const EXTRA_WARNINGS_MAX: u32 = 100;
/// Maximum number of lines that wait for the writer thread.
const QUEUE_MAX: usize = 1_024;

#[derive(Debug)]
struct RateLimitedAppend {
    layout: JsonLayout,
    tx: SyncSender<Vec<u8>>,
    window: Mutex<RateWindow>,
    /// Maximum number of lines per second, extra warnings aside.
    lines_max: u32,
}

/// The current second, over which lines are counted.
#[derive(Debug)]
struct RateWindow {
    started: Instant,
    lines: u32,
    /// Number of lines dropped since the last report of dropped lines.
    dropped: u64,
}

impl Append for RateLimitedAppend {
    fn append(
        &self,
        record: &Record<'_>,
        diags: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let Some(dropped) = self.admit(record.level()) else {
            return Ok(());
        };
        if dropped > 0 {
            let line = format!("{{\"level\":\"WARN\",\"lines_left_out\":{dropped}}}");
            // The count is lost when the channel is full here as well.
            let _ = self.tx.try_send(line.into_bytes());
        }
        let line = self.layout.format(record, diags)?;
        if self.tx.try_send(line).is_err() {
            self.lock().dropped += 1;
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}

impl RateLimitedAppend {
    fn lock(&self) -> std::sync::MutexGuard<'_, RateWindow> {
        self.window
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Counts a line against the limit.
    ///
    /// Returns `None` when the line is dropped. Otherwise returns the number of dropped lines to
    /// report: nonzero only for the first line of a new second.
    fn admit(&self, level: Level) -> Option<u64> {
        let mut window = self.lock();
        let mut dropped = 0;
        if window.started.elapsed() >= Duration::from_secs(1) {
            dropped = std::mem::take(&mut window.dropped);
            window.started = Instant::now();
            window.lines = 0;
        }
        window.lines += 1;
        let lines_max = match level {
            Level::Warn | Level::Error => self.lines_max + EXTRA_WARNINGS_MAX,
            _ => self.lines_max,
        };
        if window.lines > lines_max {
            window.dropped += 1;
            return None;
        }
        Some(dropped)
    }
}

/// Sets up logging to standard output with at most `lines_max` lines per second.
///
/// Warnings and errors may exceed the limit by [`EXTRA_WARNINGS_MAX`] lines per second.
pub(crate) fn set_up(lines_max: u32) {
    let (tx, rx) = mpsc::sync_channel::<Vec<u8>>(QUEUE_MAX);
    std::thread::spawn(move || {
        for mut line in rx {
            line.push(b'\n');
            // A failure to write to standard output cannot be reported anywhere else.
            let _ = std::io::stdout().write_all(&line);
        }
    });
    let window = RateWindow {
        started: Instant::now(),
        lines: 0,
        dropped: 0,
    };
    let append = RateLimitedAppend {
        layout: JsonLayout::default(),
        tx,
        window: Mutex::new(window),
        lines_max,
    };
    let filter = LevelFilter::MoreSevereEqual(Level::Info);
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter).append(append))
        .apply();
}
