//! `citronrill status`: shows the configuration version of every process.

use argh::FromArgs;
use citronrill_platform::InstanceList;
use citronrill_runtime::{config_head, fetch_dump_json};
use serde_json::{Value, json};

use crate::{
    exit::{CommandError, Exit},
    files::{Platform, read_client_settings},
};

/// Show the configuration version of every process, and which processes lag or do not answer.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// the client's settings file
    #[argh(option)]
    settings: String,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Status {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        let settings = read_client_settings(&self.settings)?;
        let platform = Platform::new(&settings.platform);
        let accepted = config_head(platform.table.as_ref()).map(|(head, _)| head.version);
        let instances = platform.instances.list()?;
        let mut rows = Vec::new();
        for instance in &instances {
            let state = instance.address.parse().ok();
            let state = state.and_then(|address| fetch_dump_json(address, &settings.secret).ok());
            rows.push(instance_row(&instance.name, &instance.zone, instance.leaving, state));
        }
        // While the table is unavailable, the highest version of any process counts as current.
        let highest = rows.iter().filter_map(|row| row["version"].as_u64()).max().unwrap_or(0);
        let current = accepted.as_ref().copied().unwrap_or(highest);
        let lagging = rows.iter().filter(|row| row["version"].as_u64() != Some(current)).count();
        if self.json {
            let document = json!({ "version": current, "store_up": accepted.is_ok(),
                "lagging": lagging, "instances": rows });
            println!("{document}");
        } else {
            let store = if accepted.is_ok() { "up" } else { "away" };
            println!("version {current}, store {store}, {lagging} of {} lag", rows.len());
            for row in &rows {
                println!("{}", format_row(row, current));
            }
        }
        Ok(if lagging == 0 { Exit::Success } else { Exit::Lagging })
    }
}

fn instance_row(name: &str, zone: &str, leaving: bool, state: Option<Value>) -> Value {
    let state = state.unwrap_or_default();
    json!({ "instance": name, "zone": zone, "leaving": leaving, "role": state["role"],
        "version": state["version"], "confirmed": state["confirmed"] })
}

fn format_row(row: &Value, current: u64) -> String {
    let string = |value: &Value| value.as_str().unwrap_or("?").to_owned();
    let state = match row["version"].as_u64() {
        None => "does not answer".to_owned(),
        Some(version) if version != current => format!("version {version}, lags"),
        Some(version) if row["confirmed"] == json!(false) => {
            format!("version {version}, not confirmed by the store")
        }
        Some(version) => format!("version {version}"),
    };
    let leaving = if row["leaving"] == json!(true) { ", leaving" } else { "" };
    let (name, zone, role) = (string(&row["instance"]), string(&row["zone"]), string(&row["role"]));
    format!("{name:24} {zone:16} {role:6} {state}{leaving}")
}
