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
    figures: Rc<Metrics>,
    calls: UnboundedSender<ListCommand>,
    log: LogControl,
}

impl Reloader {
    /// Starts with the configuration that the sidecar was started with.
    pub fn new(
        loaded: LoadedConfig,
        figures: Rc<Metrics>,
        calls: UnboundedSender<ListCommand>,
        log: LogControl,
    ) -> Rc<Reloader> {
        Rc::new(Reloader { loaded: RefCell::new(loaded), figures, calls, log })
    }

    /// Reads the file again and applies its changes. An invalid file changes nothing; its errors are logged.
    pub fn file(&self) {
        let reloaded = self.loaded.borrow_mut().reload();
        match reloaded {
            Ok(change) => {
                self.figures.record_reconfiguration(true);
                self.apply(change);
            }
            Err(problems) => {
                self.figures.record_reconfiguration(false);
                for problem in &problems.0 {
                    error!(%problem, "reload");
                }
                error!(problems = problems.0.len(), "reload: going on as before");
            }
        }
    }

    /// Applies settings that the fleet has decided. Settings that are refused change nothing.
    ///
    /// # Errors
    /// All errors of the settings, one a line: the text goes into the sidecar's report to the coordinator.
    pub fn fleet(&self, values: &SettingValues) -> Result<(), String> {
        // The log's own parser is stricter than the file's check, and what is reported as in force must be.
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
            let _ = self.calls.send(ListCommand::SetAddress(address));
        }
        if let Some(endpoints) = endpoints {
            let _ = self.calls.send(ListCommand::ReplaceTargets(endpoints));
        }
    }
}
