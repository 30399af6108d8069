//! Changes of the configuration while a sidecar serves: by SIGHUP out of its file, and by its fleet.

use crate::logs::{LogControl, levels};
use curlewhub_config::{Change, Loaded};
use curlewhub_control_plane::configuration::SettingValues;
use curlewhub_runtime::events::Call;
use curlewhub_runtime::figures::Figures;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;
use tracing::{error, info, warn};

/// Holds the configuration in effect, and hands what changes to the parts.
pub struct Reloader {
    loaded: RefCell<Loaded>,
    figures: Rc<Figures>,
    calls: UnboundedSender<Call>,
    log: LogControl,
}

impl Reloader {
    /// One that begins with what the sidecar was started with.
    pub fn new(
        loaded: Loaded,
        figures: Rc<Figures>,
        calls: UnboundedSender<Call>,
        log: LogControl,
    ) -> Rc<Reloader> {
        Rc::new(Reloader { loaded: RefCell::new(loaded), figures, calls, log })
    }

    /// Takes over what the file says anew; a wrong one changes nothing.
    pub fn file(&self) {
        let reloaded = self.loaded.borrow_mut().reload();
        match reloaded {
            Ok(change) => {
                self.figures.reconfigured(true);
                self.take(change);
            }
            Err(problems) => {
                self.figures.reconfigured(false);
                for problem in &problems.0 {
                    error!(%problem, "reload");
                }
                error!(problems = problems.0.len(), "reload: going on as before");
            }
        }
    }

    /// Takes over what the fleet has decided; one that is refused changes nothing.
    ///
    /// # Errors
    /// All that is wrong with it, one problem a line.
    pub fn fleet(&self, values: &SettingValues) -> Result<(), String> {
        // The log's own parser is stricter than the file's: what is said to be in force must be.
        if let Some(level) = values.get("log.level") {
            levels(level).map_err(|problem| format!("log.level: {problem}"))?;
        }
        let taken = self.loaded.borrow_mut().take_fleet(values);
        self.take(taken.map_err(|problems| problems.to_string())?);
        Ok(())
    }

    fn take(&self, Change { discovery, endpoints, log, restart }: Change) {
        let moved = discovery.map(|at| at.to_string());
        info!(discovery = moved, endpoints = endpoints.as_ref().map(Vec::len), "reloaded");
        if let Some(log) = log
            && let Err(problem) = self.log.change(&log)
        {
            warn!(problem, "reload: the log goes on as before");
        }
        if !restart.is_empty() {
            warn!(fields = restart.join(", "), "reload: changes that need a restart");
        }
        // These fail only while the process ends.
        if let Some(address) = discovery {
            let _ = self.calls.send(Call::Move(address));
        }
        if let Some(endpoints) = endpoints {
            let _ = self.calls.send(Call::Replace(endpoints));
        }
    }
}
