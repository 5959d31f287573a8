//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            began: Instant::now(),
        })
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// Returns the time since the start, in seconds.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
}
