//! Record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write as _,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines with the time since the start.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Arc<Self>> {
        let file = Mutex::new(File::create(path)?);
        Ok(Arc::new(Self { file, started_at: Instant::now() }))
    }

    /// Seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        self.file.lock().unwrap().write_all(line.as_bytes()).ok();
    }

    /// Writes a line here and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
