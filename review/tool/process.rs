//! Processes that a case starts, and ends by their ids.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
    process::{Child, Command, Stdio},
    thread,
};

use crate::record::Record;

/// A process that is killed when this is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program of the project with the command of the deploy file; its log goes to `log`.
    pub fn project(role: &str, settings: &Path, log: &Path) -> io::Result<Process> {
        let log = File::create(log)?;
        let child = Command::new("target/release/citronrill")
            .arg(role)
            .env("CITRONRILL_BOOT", settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        Ok(Process { child })
    }

    /// Starts this program again in another role; its lines go to the record.
    pub fn stand_in(arguments: &[String], record: &Record) -> io::Result<Process> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let record = record.clone();
        if let Some(out) = child.stdout.take() {
            thread::spawn(move || {
                BufReader::new(out)
                    .lines()
                    .map_while(Result::ok)
                    .for_each(|line| record.line(&line));
            });
        }
        Ok(Process { child })
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        Command::new("kill").args([format!("-{name}"), id]).status().map(|_| ())
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        // An error means that it has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
