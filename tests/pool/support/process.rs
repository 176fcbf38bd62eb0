//! Citronrill processes, their logs and their metrics.

use std::{
    fs,
    io::{BufRead, BufReader, Write},
    net::TcpStream,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::Instant,
};

use super::{Response, WAIT_TIMEOUT, free_port};

/// Citronrill process, killed on drop.
pub(crate) struct Process {
    pub(crate) child: Child,
    role: String,
    lines: Arc<Mutex<Vec<String>>>,
    settings: PathBuf,
}

impl Process {
    /// Starts a process of this role with these settings.
    pub(crate) fn start(role: &str, settings: &str) -> Process {
        let file = std::env::temp_dir().join(format!(
            "citronrill-pool-{}-{}.ini",
            std::process::id(),
            free_port()
        ));
        fs::write(&file, settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_citronrill"))
            .args([role, "--settings", file.to_str().unwrap()])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = Arc::new(Mutex::new(Vec::new()));
        let out = BufReader::new(child.stdout.take().unwrap());
        let captured = lines.clone();
        thread::spawn(move || {
            for line in out.lines().map_while(Result::ok) {
                captured.lock().unwrap().push(line);
            }
        });
        Process { child, role: role.to_owned(), lines, settings: file }
    }

    /// Kills and restarts the process with the same settings, as the platform does; clears its log.
    pub(crate) fn restart(&mut self) {
        self.restart_with("");
    }

    /// Kills and restarts the process with another section of settings; clears its log.
    pub(crate) fn restart_with(&mut self, section: &str) {
        let settings = fs::read_to_string(&self.settings).unwrap();
        let settings = settings.replace("first_start = yes", "first_start = no") + section;
        self.kill();
        *self = Process::start(&self.role, &settings);
    }

    /// Kills the process and waits for its end, so that its listeners are closed.
    pub(crate) fn kill(&mut self) {
        // An error means that it has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the numbers that follow `key` in the log lines that contain `event`, in order.
    pub(crate) fn logged_numbers(&self, event: &str, key: &str) -> Vec<u64> {
        let lines = self.lines.lock().unwrap();
        let lines = lines.iter().filter(|line| line.contains(event));
        let values =
            lines.filter_map(|line| line.split(' ').find_map(|pair| pair.strip_prefix(key)));
        values.filter_map(|value| value.parse().ok()).collect()
    }

    /// Returns the highest resident memory of the process so far, in kB.
    pub(crate) fn peak_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Prints the log.
    pub(crate) fn print_log(&self) {
        let lines = self.lines.lock().unwrap();
        println!("log of {} {}:\n{}", self.role, self.child.id(), lines.join("\n"));
    }

    /// Returns whether a log line contains all of these parts.
    pub(crate) fn logged(&self, parts: &[&str]) -> bool {
        self.count(parts) > 0
    }

    /// Returns the number of log lines that contain all of these parts.
    pub(crate) fn count(&self, parts: &[&str]) -> usize {
        let lines = self.lines.lock().unwrap();
        lines.iter().filter(|line| parts.iter().all(|part| line.contains(part))).count()
    }

    /// Returns the value of an unlabelled metric.
    pub(crate) fn metric(&self, name: &str) -> u64 {
        let text = self.metrics();
        let line = text.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        line.trim().parse().unwrap()
    }

    /// Returns all metrics.
    pub(crate) fn metrics(&self) -> String {
        let settings = fs::read_to_string(&self.settings).unwrap();
        let address = settings.lines().find_map(|line| line.strip_prefix("metrics = ")).unwrap();
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
        Response::read(&mut stream).body
    }

    /// Sends a signal by its number.
    pub(crate) fn signal(&self, signal: i32) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([format!("-{signal}"), id]).status().unwrap();
        assert!(status.success());
    }

    /// Waits until the process exits; returns its exit code.
    pub(crate) fn wait_exit(&mut self) -> Option<i32> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            thread::yield_now();
        }
        panic!("timed out waiting for the process to exit");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        // An error only leaves the file in the temporary directory.
        let _ = fs::remove_file(&self.settings);
    }
}
