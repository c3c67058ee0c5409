//! The controller program.

mod admission_command;
mod cells;
mod cells_command;
mod front;
mod grpc;
mod http;
mod options;
mod peer_client;

use clap::{Parser, Subcommand};
use dapplecroft_controller::{Node, Options, Parts, PeerService, resolve_admission};
use dapplecroft_net::{SocketLimiter, TcpTransport};
use dapplecroft_wire::settings::Settings;
use rand::RngExt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::SystemTime;
use tracing_subscriber::EnvFilter;

/// A cluster scheduler: takes users' jobs, rents machines, and decides what
/// runs where. All controllers of a deployment run this program.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a controller until it is killed.
    Run {
        /// The operators' own settings (protobuf text format); defaults are
        /// compiled in.
        #[arg(long, value_name = "FILE")]
        options: Option<PathBuf>,
        /// The platform's settings (JSON).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Say how things stand between this cell and others, as a controller knows it.
    Cells {
        /// Address of one of this cell's controllers for the others (`back`). Its leader
        /// knows most.
        controller: SocketAddr,
        /// List the jobs that are away, one a line.
        #[arg(long)]
        away: bool,
    },
    /// Say how admission control stands, as a controller knows it.
    Admission {
        /// Address of one of this cell's controllers for the others (`back`). Its leader
        /// knows most.
        controller: SocketAddr,
    },
    /// Check a file of operators' settings and say what would be in force.
    Check {
        /// The file (protobuf text format).
        file: PathBuf,
    },
}

/// What a process has at least; fewer sockets would be of no use.
const MIN_SOCKETS: usize = 64;
/// After so many steps the program looks at what has arrived and at its timers,
/// so that what can't wait is not behind all that is ready.
const STEPS: u32 = 24;

/// Why the program can't start, or ended.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    #[error("{0}: {1}")]
    Settings(String, String),
    #[error("{0}: {1}")]
    Options(String, options::OptionsError),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("peers' interface: {0}")]
    Grpc(#[from] tonic::transport::Error),
    #[error("{0}")]
    Cells(#[from] cells_command::CellsError),
    #[error("{0}")]
    Admission(#[from] admission_command::AdmissionError),
    #[error("{0}: {1}")]
    AdmissionSettings(String, dapplecroft_admission::SettingsError),
    #[error("a part of the controller ended")]
    Ended,
    #[error("{0}")]
    MustEnd(String),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let filter = EnvFilter::try_from_env("LOG_LEVEL").unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
    let result = match arguments.command {
        Command::Run { options, config } => run(options.as_deref(), &config),
        Command::Cells { controller, away } => show_cells(controller, away),
        Command::Admission { controller } => show_admission(controller),
        Command::Check { file } => check(&file),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("dapplecroft: {failure}");
            ExitCode::FAILURE
        }
    }
}

fn read(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|e| Failure::File(path.display().to_string(), e))
}

fn load_options(path: &Path) -> Result<Options, Failure> {
    options::parse(&read(path)?).map_err(|e| Failure::Options(path.display().to_string(), e))
}

fn run(options: Option<&Path>, config: &Path) -> Result<(), Failure> {
    let settings =
        Settings::parse(&read(config)?).map_err(|e| Failure::Settings(config.display().to_string(), e))?;
    let file = options.map_or_else(String::new, |path| path.display().to_string());
    let options = options.map(load_options).transpose()?.unwrap_or_default();
    resolve_admission(&settings, &options).map_err(|error| Failure::AdmissionSettings(file, error))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().event_interval(STEPS).build()?;
    runtime.block_on(serve(settings, options))
}

fn check(path: &Path) -> Result<(), Failure> {
    let text = options::in_force(&read(path)?);
    println!("{}", text.map_err(|e| Failure::Options(path.display().to_string(), e))?);
    Ok(())
}

fn show_admission(controller: SocketAddr) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let reply = runtime.block_on(admission_command::ask(controller))?;
    print!("{}", admission_command::summary_lines(&reply));
    Ok(())
}

fn show_cells(controller: SocketAddr, away: bool) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let reply = runtime.block_on(cells_command::ask(controller))?;
    print!("{}", if away { cells_command::away_lines(&reply) } else { cells_command::summary_lines(&reply) });
    Ok(())
}

async fn serve(settings: Settings, options: Options) -> Result<(), Failure> {
    let mut random = rand::rng();
    let (listen, back) = (settings.listen, settings.peer_listen);
    let cells_listen = options.federation.as_ref().map(|federation| federation.listen);
    let sockets = SocketLimiter::new(settings.params.quota.max_connections.max(MIN_SOCKETS));
    let node = Node::new(Parts {
        settings: Arc::new(settings),
        options,
        identity: format!("{:016x}", random.random::<u64>()),
        transport: Arc::new(TcpTransport::new(sockets.clone())),
        peers: Arc::new(grpc::GrpcPeers::default()),
        cells: Arc::new(cells::GrpcCells::default()),
        wall: SystemTime::now,
        seed: random.random(),
    });
    tracing::info!(%listen, %back, "starting");
    // One process does one thing at a time, and all of it ends together.
    tokio::select! {
        result = http::serve(node.clone(), sockets, listen) => result?,
        result = grpc::serve(PeerService(node.clone()), back) => result?,
        result = cells::serve(node.clone(), cells_listen) => result?,
        () = node.run() => {}
    }
    Err(node.ended().map_or(Failure::Ended, Failure::MustEnd))
}
