//! The `citronrill` binary: all processes of the system, and the operators' client.

mod commands;
mod exit;
mod files;

use std::{
    io::{self, Write},
    process::ExitCode,
};

use argh::FromArgs;
use citronrill_gateway::{LogHandle, LogPipe};

use crate::{commands::Command, exit::Exit};

/// Serves many rarely used models from one shared pool of accelerators.
#[derive(FromArgs)]
struct Arguments {
    /// the lowest level to log: error, warn, info, debug, trace or off
    #[argh(option)]
    log: Option<String>,

    #[argh(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    let args = std::env::args().collect::<Vec<_>>();
    let args = args.iter().map(String::as_str).collect::<Vec<_>>();
    let (program, rest) =
        args.split_first().map_or(("citronrill", &[][..]), |(program, rest)| (*program, rest));
    let arguments = match Arguments::from_args(&[program], rest) {
        Ok(arguments) => arguments,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            return Exit::Usage.into();
        }
    };
    let out: Box<dyn Write + Send> = if arguments.command.logs_to_stdout() {
        Box::new(io::stdout())
    } else {
        Box::new(io::stderr())
    };
    let logs = start_logging(arguments.log.as_deref(), arguments.command.default_log(), out);
    let result = arguments.command.run(logs.stats.clone());
    logs.drain();
    match result {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("citronrill: {error}");
            error.exit().into()
        }
    }
}

/// Starts logging, one line of key=value pairs per event. `--log` takes precedence over the
/// environment variable `RUST_LOG`.
fn start_logging(level: Option<&str>, default: &str, out: Box<dyn Write + Send>) -> LogHandle {
    let environment = env_logger::Env::default().default_filter_or(default);
    let mut builder = env_logger::Builder::from_env(environment);
    if let Some(level) = level {
        builder.parse_filters(level);
    }
    builder.format(|out, record| {
        let level = record.level().as_str().to_lowercase();
        writeln!(out, "time={} level={level} {}", unix_ms(), record.args())
    });
    let pipe = LogPipe::new(out);
    let handle = pipe.handle();
    builder.target(env_logger::Target::Pipe(Box::new(pipe)));
    builder.init();
    handle
}

/// Returns milliseconds since the epoch, to sort and plot the log lines of several processes. No
/// decision depends on them.
fn unix_ms() -> u128 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |elapsed| elapsed.as_millis())
}
