//! Configuration changes while a sidecar serves: from its file at SIGHUP, and from the fleet view.

use crate::logs::{LogControl, levels};
use curlewhub_config::{ConfigChange, LoadedConfig};
use curlewhub_control_plane::configuration::SettingValues;
use curlewhub_runtime::events::ListCommand;
use curlewhub_runtime::figures::Metrics;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;
use tracing::{error, info, warn};

/// Owns the configuration in force and passes changes on to discovery and the log.
pub struct Reloader {
    loaded: RefCell<LoadedConfig>,
    metrics: Rc<Metrics>,
    list_commands: UnboundedSender<ListCommand>,
    log: LogControl,
}

impl Reloader {
    /// Creates a reloader with the configuration that the sidecar was started with.
    pub fn new(
        loaded: LoadedConfig,
        metrics: Rc<Metrics>,
        list_commands: UnboundedSender<ListCommand>,
        log: LogControl,
    ) -> Rc<Reloader> {
        Rc::new(Reloader { loaded: RefCell::new(loaded), metrics, list_commands, log })
    }

    /// Reads the file again and applies its changes. An invalid file changes nothing; its errors are
    /// logged.
    pub fn reload_file(&self) {
        let reloaded = self.loaded.borrow_mut().reload();
        match reloaded {
            Ok(change) => {
                self.metrics.record_reconfiguration(true);
                self.apply(change);
            }
            Err(problems) => {
                self.metrics.record_reconfiguration(false);
                for problem in &problems.0 {
                    error!(%problem, "reload");
                }
                error!(problems = problems.0.len(), "reload: going on as before");
            }
        }
    }

    /// Applies settings that the fleet has committed. Invalid settings change nothing.
    ///
    /// # Errors
    /// All errors of the settings, one per line; the text is included in the sidecar's report to the
    /// coordinator.
    pub fn apply_fleet_settings(&self, values: &SettingValues) -> Result<(), String> {
        // The log's own parser is stricter than the configuration's validation. A level that it rejects
        // must not be reported as in force.
        if let Some(level) = values.get("log.level") {
            levels(level).map_err(|error| format!("log.level: {error}"))?;
        }
        let change = self.loaded.borrow_mut().apply_fleet_values(values);
        self.apply(change.map_err(|problems| problems.to_string())?);
        Ok(())
    }

    fn apply(&self, change: ConfigChange) {
        let ConfigChange { discovery, endpoints, log, restart_fields } = change;
        let address = discovery.map(|address| address.to_string());
        info!(discovery = address, endpoints = endpoints.as_ref().map(Vec::len), "reloaded");
        if let Some(log) = log
            && let Err(error) = self.log.change(&log)
        {
            warn!(problem = %error, "reload: log settings not changed");
        }
        if !restart_fields.is_empty() {
            warn!(fields = restart_fields.join(", "), "reload: changes that need a restart");
        }
        // Sending fails only while the process ends.
        if let Some(address) = discovery {
            let _ = self.list_commands.send(ListCommand::SetAddress(address));
        }
        if let Some(endpoints) = endpoints {
            let _ = self.list_commands.send(ListCommand::ReplaceTargets(endpoints));
        }
    }
}
