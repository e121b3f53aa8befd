//! `heathvaled`: the daemon that runs one instance of heathvale.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

use errors::Error;
use events::LogFormat;
use gumdrop::Options;
use log::LevelFilter;
use settings::{Flags, Settings};

/// The exit code for invalid settings, before anything was started.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let flags = match Flags::parse_args_default(&arguments) {
        Ok(flags) => flags,
        Err(e) => {
            eprintln!("heathvaled: {e}; see heathvaled --help");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    if flags.help {
        println!("Usage: heathvaled [FLAGS]\n\n{}", Flags::usage());
        return ExitCode::SUCCESS;
    }
    if flags.version {
        println!("heathvaled {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if let Some(file) = std::env::var_os(platform::NODE_FILE_VARIABLE) {
        return start_on_platform(file.into());
    }
    let variables: BTreeMap<String, String> = std::env::vars().collect();
    match settings::read(&flags, &variables) {
        Ok(settings) => start(settings),
        Err(findings) => {
            eprintln!("{:?}", miette::Report::new(findings));
            ExitCode::from(INVALID_SETTINGS_EXIT_CODE)
        }
    }
}

/// Runs the process with the settings file that the users' platform has written.
fn start_on_platform(file: PathBuf) -> ExitCode {
    let logging = events::start_logging_to_stdout(LevelFilter::Info);
    events::exit_on_panic();
    match logging.and_then(|()| platform::run(file)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Error::Findings(findings)) => {
            eprintln!("{:?}", miette::Report::new(findings));
            ExitCode::from(INVALID_SETTINGS_EXIT_CODE)
        }
        Err(e) => {
            eprintln!("{:?}", miette::Report::new(e));
            ExitCode::FAILURE
        }
    }
}

/// Runs the instance of an own cell, with settings from flags and environment variables.
fn start(settings: Settings) -> ExitCode {
    let format = match settings.log_format {
        settings::LogFormat::Text => LogFormat::Text,
        settings::LogFormat::Json => LogFormat::Json,
    };
    let level = match settings.log_level.as_ref() {
        "error" => LevelFilter::Error,
        "warn" => LevelFilter::Warn,
        "off" => LevelFilter::Off,
        _ => LevelFilter::Info,
    };
    let name = settings.own.id.to_string();
    let result = events::start_logging(&name, format, level).and_then(|()| instance::run(settings));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{:?}", miette::Report::new(e));
            ExitCode::FAILURE
        }
    }
}
