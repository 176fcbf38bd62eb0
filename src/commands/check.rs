//! `citronrill check`: validates a configuration.

use argh::FromArgs;
use citronrill_config::{Catalogue, Registry};
use serde_json::json;

use crate::{
    exit::{CommandError, Exit},
    files::read_file,
};

/// Check a configuration; prints every error with its file, line, section and key.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// the configuration file
    #[argh(positional)]
    file: String,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Check {
    pub(crate) fn run(self) -> Result<Exit, CommandError> {
        let config = read_file(&self.file)?;
        match Catalogue::compile(&self.file, &config, 0, &mut Registry::default()) {
            Ok(catalogue) => {
                let (organisations, services, models) = (
                    catalogue.organisations.len(),
                    catalogue.services.len(),
                    catalogue.models.len(),
                );
                if self.json {
                    let counts = json!({ "ok": true, "organisations": organisations,
                        "services": services, "models": models });
                    println!("{counts}");
                } else {
                    println!(
                        "{}: ok: {organisations} organisations, {services} services, {models} \
                         models and adapters",
                        self.file
                    );
                }
                Ok(Exit::Success)
            }
            Err(errors) if self.json => {
                let errors = errors.0.iter().map(|error| {
                    json!({ "file": error.file, "line": error.line, "section": error.section,
                        "key": error.key, "problem": error.problem.to_string() })
                });
                println!("{}", json!({ "ok": false, "errors": errors.collect::<Vec<_>>() }));
                Ok(Exit::Usage)
            }
            Err(errors) => Err(errors.into()),
        }
    }
}
