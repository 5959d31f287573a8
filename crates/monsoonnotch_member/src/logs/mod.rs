//! Log lines: one JSON object a line, bounded in number, never blocking.
//!
//! Lines go through a bounded channel to a thread that writes them. Beyond a
//! number a second, or when the channel is full, lines are left out and counted;
//! the count is itself a line.

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

/// Warnings and errors a second beyond those.
const WARNINGS_BEYOND: u32 = 100;
/// Lines that wait for the writer, at most.
const WAITING_MAX: usize = 1_024;

#[derive(Debug)]
struct Bounded {
    layout: JsonLayout,
    tx: SyncSender<Vec<u8>>,
    second: Mutex<Second>,
    /// Lines a second, at most.
    most: u32,
}

#[derive(Debug)]
struct Second {
    began: Instant,
    lines: u32,
    left_out: u64,
}

impl Append for Bounded {
    fn append(
        &self,
        record: &Record<'_>,
        diags: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let Some(left_out) = self.admit(record.level()) else {
            return Ok(());
        };
        if left_out > 0 {
            let line = format!("{{\"level\":\"WARN\",\"lines_left_out\":{left_out}}}");
            // The count is lost only where the writer is behind, too.
            let _ = self.tx.try_send(line.into_bytes());
        }
        let line = self.layout.format(record, diags)?;
        if self.tx.try_send(line).is_err() {
            self.lock().left_out += 1;
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}

impl Bounded {
    fn lock(&self) -> std::sync::MutexGuard<'_, Second> {
        self.second.lock().expect("no holder of the lock panics")
    }

    /// Whether a line may be written, and how many were left out before it.
    fn admit(&self, level: Level) -> Option<u64> {
        let mut second = self.lock();
        let mut left_out = 0;
        if second.began.elapsed() >= Duration::from_secs(1) {
            left_out = std::mem::take(&mut second.left_out);
            second.began = Instant::now();
            second.lines = 0;
        }
        second.lines += 1;
        let most = match level {
            Level::Warn | Level::Error => self.most + WARNINGS_BEYOND,
            _ => self.most,
        };
        if second.lines > most {
            second.left_out += 1;
            return None;
        }
        Some(left_out)
    }
}

/// Sets up logging to standard output, with at most so many lines a second.
pub(crate) fn set_up(most: u32) {
    let (tx, rx) = mpsc::sync_channel::<Vec<u8>>(WAITING_MAX);
    std::thread::spawn(move || {
        for mut line in rx {
            line.push(b'\n');
            // Nobody is left to tell when standard output is gone.
            let _ = std::io::stdout().write_all(&line);
        }
    });
    let second = Second {
        began: Instant::now(),
        lines: 0,
        left_out: 0,
    };
    let bounded = Bounded {
        layout: JsonLayout::default(),
        tx,
        second: Mutex::new(second),
        most,
    };
    let filter = LevelFilter::MoreSevereEqual(Level::Info);
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(filter).append(bounded))
        .apply();
}
