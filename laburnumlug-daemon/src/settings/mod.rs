//! Settings of the roles, read from INI files.

mod common;
mod control;
mod control_role;
mod entry;
mod error;
mod file;
mod gateway;
mod numbers;
mod reader;
mod redirect;
mod target;

pub(crate) use self::common::{
    LogOutput, LogSettings, MeshSettings, ProcessSettings, default_memory_budget,
};
pub(crate) use self::control::ControlSettings;
pub(crate) use self::control_role::ControlRoleSettings;
pub(crate) use self::entry::EntrySettings;
pub use self::error::SettingsError;
pub(crate) use self::file::{RoleSettings, SettingsFile};
pub(crate) use self::gateway::GatewaySettings;
pub(crate) use self::redirect::RedirectSettings;
pub(crate) use self::target::{BackendKind, PlatformSettings, TargetSettings};
