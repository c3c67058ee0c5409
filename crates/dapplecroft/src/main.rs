//! The controller program and the operators' commands that query a running controller.

mod admission_command;
mod cells_command;
mod cells_grpc;
mod controller_client;
mod http;
mod http_connections;
mod options;
mod peers_grpc;

use clap::{Parser, Subcommand};
use dapplecroft_controller::{Node, NodeConfig, Options, PeerService, resolve_admission};
use dapplecroft_net::{SocketLimiter, TcpTransport};
use dapplecroft_wire::settings::Settings;
use rand::RngExt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::SystemTime;
use tracing_subscriber::EnvFilter;

// The doc comments of `Arguments` and `Command` are the help texts that the program prints.

/// A cluster scheduler: takes users' jobs, rents machines, and decides what
/// runs where. All controllers of a deployment run this program.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

// `back` in the help texts is the platform setting that holds the address on which a controller serves the
// other controllers of its cell.
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

/// Lower bound on the process's socket limit, even if the platform's `max_connections` is smaller. A process
/// with fewer could serve nobody: [`SocketLimiter`] reserves this many for the connections that the process
/// makes.
const MIN_SOCKET_LIMIT: usize = 64;
/// Number of task polls after which the runtime checks for I/O events and expired timers, so that urgent work
/// such as a lease renewal does not wait until all ready tasks have run.
const EVENT_INTERVAL_TICKS: u32 = 24;

/// Why a command failed, or why the controller could not start or stopped.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error("{0}: {1}")]
    ReadFile(String, std::io::Error),
    #[error("{0}: {1}")]
    Settings(String, String),
    #[error("{0}: {1}")]
    Options(String, options::OptionsError),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("peers' interface: {0}")]
    PeerServer(#[from] tonic::transport::Error),
    #[error("{0}")]
    Cells(#[from] cells_command::CellsCommandError),
    #[error("{0}")]
    Admission(#[from] admission_command::AdmissionCommandError),
    #[error("{0}: {1}")]
    AdmissionSettings(String, dapplecroft_admission::SettingsError),
    /// One of the servers or the controller's own loops returned, although all of them run until the process
    /// is killed.
    #[error("a part of the controller ended")]
    TaskEnded,
    /// The controller decided that its process must exit, for the reason given.
    #[error("{0}")]
    ShutDown(String),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let filter = EnvFilter::try_from_env("LOG_LEVEL").unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
    let result = match arguments.command {
        Command::Run { options, config } => run(options.as_deref(), &config),
        Command::Cells { controller, away } => show_federation_status(controller, away),
        Command::Admission { controller } => show_admission_status(controller),
        Command::Check { file } => check_options(&file),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("dapplecroft: {failure}");
            ExitCode::FAILURE
        }
    }
}

fn read_file(path: &Path) -> Result<String, ProgramError> {
    std::fs::read_to_string(path).map_err(|error| ProgramError::ReadFile(path.display().to_string(), error))
}

fn load_options(path: &Path) -> Result<Options, ProgramError> {
    options::parse(&read_file(path)?)
        .map_err(|error| ProgramError::Options(path.display().to_string(), error))
}

fn run(options: Option<&Path>, config: &Path) -> Result<(), ProgramError> {
    let settings = Settings::parse(&read_file(config)?)
        .map_err(|error| ProgramError::Settings(config.display().to_string(), error))?;
    let file = options.map_or_else(String::new, |path| path.display().to_string());
    let options = options.map(load_options).transpose()?.unwrap_or_default();
    resolve_admission(&settings, &options).map_err(|error| ProgramError::AdmissionSettings(file, error))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .event_interval(EVENT_INTERVAL_TICKS)
        .build()?;
    runtime.block_on(serve(settings, options))
}

fn check_options(path: &Path) -> Result<(), ProgramError> {
    let text = options::effective_settings(&read_file(path)?);
    println!("{}", text.map_err(|error| ProgramError::Options(path.display().to_string(), error))?);
    Ok(())
}

fn show_admission_status(controller: SocketAddr) -> Result<(), ProgramError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let reply = runtime.block_on(admission_command::query_controller(controller))?;
    print!("{}", admission_command::format_summary(&reply));
    Ok(())
}

fn show_federation_status(controller: SocketAddr, away: bool) -> Result<(), ProgramError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let reply = runtime.block_on(cells_command::query_controller(controller))?;
    print!(
        "{}",
        if away { cells_command::format_away_jobs(&reply) } else { cells_command::format_summary(&reply) }
    );
    Ok(())
}

async fn serve(settings: Settings, options: Options) -> Result<(), ProgramError> {
    let mut random = rand::rng();
    let (listen, peer_listen) = (settings.listen, settings.peer_listen);
    let federation_listen = options.federation.as_ref().map(|federation| federation.listen);
    let sockets = SocketLimiter::new(settings.params.quota.max_connections.max(MIN_SOCKET_LIMIT));
    let node = Node::new(NodeConfig {
        settings: Arc::new(settings),
        options,
        identity: format!("{:016x}", random.random::<u64>()),
        transport: Arc::new(TcpTransport::new(sockets.clone())),
        peers: Arc::new(peers_grpc::GrpcPeers::default()),
        cells: Arc::new(cells_grpc::GrpcCells::default()),
        wall_clock: SystemTime::now,
        seed: random.random(),
    });
    tracing::info!(%listen, back = %peer_listen, "starting");
    // The servers and the controller's loops share this thread; if one of them ends, the process exits.
    tokio::select! {
        result = http::serve(node.clone(), sockets, listen) => result?,
        result = peers_grpc::serve(PeerService(node.clone()), peer_listen) => result?,
        result = cells_grpc::serve(node.clone(), federation_listen) => result?,
        () = node.run() => {}
    }
    Err(node.shutdown_reason().map_or(ProgramError::TaskEnded, ProgramError::ShutDown))
}
