//! Processes that a case starts: the project's own, by the commands of the deploy file, and workers.

use std::{
    fs::{self, File},
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

/// A process that ends with this value.
pub struct Process {
    child: Child,
}

impl Process {
    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
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
    pub store: SocketAddr,
    /// The first and the second port of the range for the daemons among themselves.
    pub ports: (u16, u16),
    /// Addresses for consumers, of the readiness check and for other daemons.
    pub entry: (SocketAddr, SocketAddr, SocketAddr),
    pub rules: &'a str,
}

impl Machine<'_> {
    /// Fills in `deploy/settings.ini` with the bounds of a small deployment.
    pub fn settings(&self) -> String {
        let template =
            fs::read_to_string("deploy/settings.ini").expect("run in the repository's root");
        let (callers, readiness, control) = self.entry;
        let values = [
            ("{{#bootstrap}}yes{{/bootstrap}}{{^bootstrap}}no{{/bootstrap}}", "yes".to_owned()),
            ("{{node_name}}", self.name.to_owned()),
            ("{{zone}}", "zone-a".to_owned()),
            ("{{bounds.grace_period_s}}", "8".to_owned()),
            ("{{listen.frontend}}", callers.to_string()),
            ("{{listen.readiness}}", readiness.to_string()),
            ("{{listen.control_plane}}", control.to_string()),
            ("{{ip}}", self.ip.to_string()),
            ("{{port_range.0}}", self.ports.0.to_string()),
            ("{{port_range.1}}", self.ports.1.to_string()),
            ("{{seed_nodes}}", String::new()),
            ("{{platform.address}}", self.store.to_string()),
            ("{{bounds.contact_ms}}", "3000".to_owned()),
            ("{{app}}", String::new()),
            ("{{service}}", String::new()),
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
    let log =
        File::options().create(true).append(true).open(dir.join(format!("{}.log", machine.name)));
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
