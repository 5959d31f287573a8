//! Rate-limited, non-blocking logging to standard output, one JSON object per line.
//!
//! A bounded channel passes the lines to a thread that writes them. Lines beyond the
//! limit per second, and lines that find the channel full, are dropped and counted; the
//! count is logged in a line of its own.

mod rate_limit;

use std::io::Write;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::SyncSender;
use std::time::Instant;

use logforth::Append;
use logforth::Diagnostic;
use logforth::Layout;
use logforth::layout::JsonLayout;
use logforth::record::Level;
use logforth::record::LevelFilter;
use logforth::record::Record;

pub use self::rate_limit::RateLimit;
pub use self::rate_limit::WARNINGS_MAX;

/// Maximum number of lines that wait for the writer thread.
const QUEUE_MAX: usize = 1_024;

#[derive(Debug)]
struct RateLimitedAppend {
    layout: JsonLayout,
    tx: SyncSender<Vec<u8>>,
    limit: Mutex<RateLimit>,
}

impl Append for RateLimitedAppend {
    fn append(
        &self,
        record: &Record<'_>,
        diags: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let is_warning = matches!(record.level(), Level::Warn | Level::Error);
        let Some(dropped) = self.lock().admit(Instant::now(), is_warning) else {
            return Ok(());
        };
        if dropped > 0 {
            let line = format!("{{\"level\":\"WARN\",\"lines_left_out\":{dropped}}}");
            // The count is lost when the channel is full here as well.
            let _ = self.tx.try_send(line.into_bytes());
        }
        let line = self.layout.format(record, diags)?;
        if self.tx.try_send(line).is_err() {
            self.lock().count_dropped();
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}

impl RateLimitedAppend {
    fn lock(&self) -> std::sync::MutexGuard<'_, RateLimit> {
        self.limit
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

/// Sets up logging to standard output with at most `lines_max` lines per second.
///
/// Warnings and errors have their own limit, [`WARNINGS_MAX`] lines per second.
pub(crate) fn set_up(lines_max: u32) {
    let (tx, rx) = mpsc::sync_channel::<Vec<u8>>(QUEUE_MAX);
    std::thread::spawn(move || {
        for mut line in rx {
            line.push(b'\n');
            // A failure to write to standard output cannot be reported anywhere else.
            let _ = std::io::stdout().write_all(&line);
        }
    });
    let append = RateLimitedAppend {
        layout: JsonLayout::default(),
        tx,
        limit: Mutex::new(RateLimit::new(lines_max)),
    };
    let filter = LevelFilter::MoreSevereEqual(Level::Info);
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter).append(append))
        .apply();
}
