//! Settings of the role `control`, whose process holds a replica only on a VM with a disk.

use super::common::{LOG, MESH, METRICS, PROCESS};
use super::control::{CONTROL, ControlSettings};
use super::error::SettingsError;
use super::file::RoleSettings;
use super::reader::{Reader, Section};
use super::redirect::RedirectSettings;

/// Settings of a control process.
#[derive(Clone, Debug)]
pub(crate) enum ControlRoleSettings {
    /// The process holds a replica.
    Replica(Box<ControlSettings>),
    /// The process refers operators to replicas.
    Redirect(Box<RedirectSettings>),
}

impl RoleSettings for ControlRoleSettings {
    const RELOADED: &'static [&'static str] = &["[mesh] control", "[control] order_turn_ms"];

    fn sections() -> Vec<Section> {
        vec![PROCESS, LOG, MESH, METRICS, CONTROL]
    }

    fn read(reader: &Reader) -> Result<ControlRoleSettings, SettingsError> {
        match RedirectSettings::read(reader)? {
            Some(settings) => Ok(ControlRoleSettings::Redirect(Box::new(settings))),
            None => ControlSettings::read(reader)
                .map(|settings| ControlRoleSettings::Replica(Box::new(settings))),
        }
    }
}
