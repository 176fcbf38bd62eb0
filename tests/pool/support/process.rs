//! Processes of citronrill, their logs and their metrics.

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

use super::{Answer, PATIENCE, free_port};

/// A process of citronrill; it is killed when this is dropped.
pub(crate) struct Process {
    pub(crate) child: Child,
    role: String,
    lines: Arc<Mutex<Vec<String>>>,
    settings: PathBuf,
}

impl Process {
    /// Starts `role` with these settings.
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
        let kept = lines.clone();
        thread::spawn(move || {
            for line in out.lines().map_while(Result::ok) {
                kept.lock().unwrap().push(line);
            }
        });
        Process { child, role: role.to_owned(), lines, settings: file }
    }

    /// Kills it and starts it with the same settings, as the platform does; its log begins anew.
    pub(crate) fn start_again(&mut self) {
        let settings = fs::read_to_string(&self.settings).unwrap();
        self.kill();
        *self = Process::start(&self.role, &settings);
    }

    /// Kills it and waits until it is gone, and with it its listeners.
    pub(crate) fn kill(&mut self) {
        // An error means that it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The numbers that follow `key` in the lines of its log that have `event`, in order.
    pub(crate) fn numbers(&self, event: &str, key: &str) -> Vec<u64> {
        let lines = self.lines.lock().unwrap();
        let lines = lines.iter().filter(|line| line.contains(event));
        let words = lines.filter_map(|line| line.split(' ').find_map(|w| w.strip_prefix(key)));
        words.filter_map(|word| word.parse().ok()).collect()
    }

    /// Whether a line of its log has all of these parts.
    pub(crate) fn logged(&self, parts: &[&str]) -> bool {
        self.count(parts) > 0
    }

    /// How many lines of its log have all of these parts.
    pub(crate) fn count(&self, parts: &[&str]) -> usize {
        let lines = self.lines.lock().unwrap();
        lines.iter().filter(|line| parts.iter().all(|part| line.contains(part))).count()
    }

    /// A count of its metrics.
    pub(crate) fn metric(&self, name: &str) -> u64 {
        let settings = fs::read_to_string(&self.settings).unwrap();
        let address = settings.lines().find_map(|line| line.strip_prefix("metrics = ")).unwrap();
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
        let body = Answer::read(&mut stream).body;
        let line = body.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        line.trim().parse().unwrap()
    }

    /// Sends a signal by its number.
    pub(crate) fn signal(&self, signal: i32) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([format!("-{signal}"), id]).status().unwrap();
        assert!(status.success());
    }

    /// Waits for its end; gives the exit code.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            thread::yield_now();
        }
        panic!("the process does not end");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        // An error leaves a file in the folder for such files.
        let _ = fs::remove_file(&self.settings);
    }
}
