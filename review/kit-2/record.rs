//! What was sent, answered and run, in `record.txt` of the case's folder.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &str) -> std::io::Result<Record> {
        let file = File::create(Path::new(folder).join("record.txt"))?;
        Ok(Record { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    pub fn note(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|it| it.into_inner());
        let _ = writeln!(file, "{seconds:7.3} {text}");
    }

    /// Notes a result and prints it.
    pub fn tell(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }
}
