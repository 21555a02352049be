//! What was sent, run and answered, with times in seconds since the start of the script.

use std::{
    fs::File,
    io::{BufWriter, Write as _},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// File with one line for each event.
pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &Path) -> std::io::Result<Arc<Self>> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Arc::new(Self { started: Instant::now(), file }))
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line with the current time in front, and returns that time.
    pub fn write(&self, text: &str) -> f64 {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{now:9.3} {text}").ok();
        now
    }

    /// Writes a line to the file and to standard output.
    pub fn say(&self, text: &str) {
        self.write(text);
        println!("{text}");
        self.file.lock().unwrap().flush().ok();
    }
}
