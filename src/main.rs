//! `heathvale`: the command line tool for operators of a cell.

#[macro_use]
mod output;
mod change;
mod cli;
mod cmd;
mod files;
mod rpc;

use std::process::ExitCode;

use errors::Error;
use gumdrop::Options;

use crate::cli::{Cli, Command};

/// The exit code for invalid input, before any change was submitted.
const INVALID_INPUT_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let cli = match Cli::parse_args_default(&arguments) {
        Ok(cli) => cli,
        Err(e) => {
            eprintln!("heathvale: {e}; see heathvale --help");
            return ExitCode::from(INVALID_INPUT_EXIT_CODE);
        }
    };
    if cli.version {
        outln!("heathvale {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = cli.command.clone().filter(|_| !cli.help_requested()) else {
        return cli::print_help(&cli);
    };
    let system = ntex::rt::System::new("heathvale", ntex::rt::DefaultRuntime);
    match system.block_on(run(cli, command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let invalid_input = matches!(e, Error::Findings(_));
            eprintln!("{:?}", miette::Report::new(e));
            if invalid_input { ExitCode::from(INVALID_INPUT_EXIT_CODE) } else { ExitCode::FAILURE }
        }
    }
}

async fn run(cli: Cli, command: Command) -> errors::Result<()> {
    if let Command::Timeline(opts) = &command
        && let Some(files) = &opts.logs
    {
        return cmd::timeline::run_on_files(files, opts);
    }
    let instances = cli.instances()?;
    match command {
        Command::Create(opts) => cmd::create::run(&instances, &opts).await,
        Command::List(opts) => cmd::list::run(&instances, &opts).await,
        Command::Show(opts) => cmd::show::run(&instances, &opts).await,
        Command::Cancel(opts) => cmd::cancel::run(&instances, &opts).await,
        Command::Config(opts) => cmd::config::run(&instances, &opts).await,
        Command::Apply(opts) => cmd::apply::run(&instances, &opts).await,
        Command::Drain(opts) => cmd::drain::run(&instances, &opts).await,
        Command::Member(opts) => cmd::member::run(&instances, &opts).await,
        Command::Status(opts) => cmd::status::run(&instances, &opts).await,
        Command::Timeline(opts) => cmd::timeline::run(&instances, &opts).await,
        Command::Load(opts) => cmd::load::run(&opts).await,
    }
}
