//! Processes that a case starts: the project's own, by the commands of the deploy file, and workers.

use std::{
    fs::{self, File},
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
pub const SIGTERM: i32 = 15;

/// A process that ends with this value.
pub struct Process {
    child: Child,
}

impl Process {
    /// Sends a signal to this process alone.
    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for its end.
    pub fn wait(&mut self) {
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What an instance of a deployment is told in its settings file.
pub struct Machine<'a> {
    pub name: &'a str,
    pub ip: IpAddr,
    pub first_start: bool,
    pub store: SocketAddr,
    /// The first and the second port of the range for the daemons among themselves.
    pub ports: (u16, u16),
    /// Addresses for consumers, of the readiness check and for other daemons, of an entry.
    pub entry: Option<(SocketAddr, SocketAddr, SocketAddr)>,
    /// Address and service of the worker beside a side.
    pub worker: Option<(SocketAddr, &'a str)>,
    pub rules: &'a str,
}

impl Machine<'_> {
    /// Fills in `deploy/settings.ini` with the bounds of a small deployment.
    pub fn settings(&self) -> String {
        let template = fs::read_to_string("deploy/settings.ini").expect("run in the repository's root");
        let bootstrap = if self.first_start { "yes" } else { "no" };
        let text = |address: Option<SocketAddr>| address.map(|address| address.to_string()).unwrap_or_default();
        let entry = |pick: fn(&(SocketAddr, SocketAddr, SocketAddr)) -> SocketAddr| text(self.entry.as_ref().map(pick));
        let values = [
            ("{{#bootstrap}}yes{{/bootstrap}}{{^bootstrap}}no{{/bootstrap}}", bootstrap.to_owned()),
            ("{{node_name}}", self.name.to_owned()),
            ("{{zone}}", "zone-a".to_owned()),
            ("{{bounds.grace_period_s}}", "8".to_owned()),
            ("{{listen.frontend}}", entry(|entry| entry.0)),
            ("{{listen.readiness}}", entry(|entry| entry.1)),
            ("{{listen.control_plane}}", entry(|entry| entry.2)),
            ("{{ip}}", self.ip.to_string()),
            ("{{port_range.0}}", self.ports.0.to_string()),
            ("{{port_range.1}}", self.ports.1.to_string()),
            ("{{seed_nodes}}", String::new()),
            ("{{platform.address}}", self.store.to_string()),
            ("{{bounds.contact_ms}}", "3000".to_owned()),
            ("{{app}}", text(self.worker.map(|worker| worker.0))),
            ("{{service}}", self.worker.map(|worker| worker.1.to_owned()).unwrap_or_default()),
            ("{{bounds.retry_budget_ratio}}", "0.2".to_owned()),
            ("{{bounds.budget_slack}}", "54".to_owned()),
            ("{{bounds.retry_window_s}}", "10".to_owned()),
            ("{{bounds.quota_window_s}}", "8".to_owned()),
            ("{{bounds.quota_overage}}", "0.1".to_owned()),
            ("{{bounds.quota_tolerance}}", "110000".to_owned()),
            ("{{contracts}}", self.rules.to_owned()),
            ("{{limits.memory_mb}}", "260".to_owned()),
            ("{{limits.max_fds}}", "4100".to_owned()),
        ];
        values.iter().fold(template, |text, (name, value)| text.replace(name, value))
    }
}

/// Starts a role (`pool-entry` or `pool-side`) as the deploy file does; its log goes to `dir`.
pub fn start_role(role: &str, machine: &Machine<'_>, dir: &Path) -> Process {
    let file: PathBuf = dir.join(format!("{}.ini", machine.name));
    fs::write(&file, machine.settings()).expect("the temporary folder can be written");
    let log = File::options().create(true).append(true).open(dir.join(format!("{}.log", machine.name)));
    let log = log.expect("the temporary folder can be written");
    let child = Command::new("target/release/citronrill")
        .arg(role)
        .env("CITRONRILL_BOOT", &file)
        .stdin(Stdio::null())
        .stderr(log.try_clone().expect("a log can be shared"))
        .stdout(log)
        .spawn()
        .expect("the project is built: target/release/citronrill");
    Process { child }
}

/// Starts a worker process: `standin worker ARGS`.
pub fn start_worker(args: &[String]) -> Process {
    let program = std::env::current_exe().expect("this program's path is known");
    let child = Command::new(program).arg("worker").args(args).stdin(Stdio::null()).spawn();
    Process { child: child.expect("a worker starts") }
}
