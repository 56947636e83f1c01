//! The daemon's command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// laburnumlugd, the daemon of the laburnumlug serving system.
#[derive(Debug, FromArgs)]
#[argh(
    example = "laburnumlugd entry --settings examples/gulvdans/entry-1.ini",
    example = "laburnumlugd dev"
)]
pub struct Args {
    #[argh(subcommand)]
    pub(crate) role: Role,
}

/// Role of the process.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Role {
    Entry(EntryArgs),
    Target(TargetArgs),
    Control(ControlArgs),
    Gateway(GatewayArgs),
    Dev(DevArgs),
}

/// Accept requests from callers and route them to targets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct EntryArgs {
    /// path of the INI settings file
    #[argh(option)]
    pub(crate) settings: PathBuf,
}

/// Run beside one target and serve all requests to it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "target")]
pub(crate) struct TargetArgs {
    /// path of the INI settings file
    #[argh(option)]
    pub(crate) settings: PathBuf,
}

/// Run a replica of the control log.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "control")]
pub(crate) struct ControlArgs {
    /// path of the INI settings file
    #[argh(option)]
    pub(crate) settings: PathBuf,
}

/// Forward requests by route to the live targets in the platform's list.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "gateway")]
pub(crate) struct GatewayArgs {
    /// path of the INI settings file
    #[argh(option)]
    pub(crate) settings: PathBuf,
}

/// Run the control, entry and target roles in one process on loopback, with stand-ins for engines and services.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dev")]
pub(crate) struct DevArgs {
    /// address on which the entry accepts connections from callers (default 127.0.0.1:7400)
    #[argh(option, default = "default_loopback_addr(7400)")]
    pub(crate) caller: SocketAddr,

    /// address on which the control replica accepts connections from operators (default 127.0.0.1:7401)
    #[argh(option, default = "default_loopback_addr(7401)")]
    pub(crate) operator: SocketAddr,
}

fn default_loopback_addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
