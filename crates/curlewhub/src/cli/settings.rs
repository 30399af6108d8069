//! Flags and environment variables that override the configuration file.

use clap::Args;
use curlewhub_config::{LoadedConfig, Override, Problems};
use std::path::Path;

/// Flags that override the configuration file.
#[derive(Args, Debug, Default, PartialEq)]
pub struct SettingsArgs {
    /// The sidecar's name, for the log.
    #[arg(long, value_name = "NAME")]
    name: Option<String>,
    /// The address for clients.
    #[arg(long, value_name = "ADDR")]
    listen: Option<String>,
    /// The address for operators.
    #[arg(long, value_name = "ADDR")]
    operator: Option<String>,
    /// The minimum log level.
    #[arg(long, value_name = "LEVEL")]
    log_level: Option<String>,
    /// text or json.
    #[arg(long, value_name = "FORMAT")]
    log_format: Option<String>,
    /// Any field of the file by its path, such as limits.sockets=512; may be repeated.
    #[arg(long, value_name = "FIELD=VALUE")]
    set: Vec<String>,
}

impl SettingsArgs {
    /// Reads the file and applies the overrides. Precedence: flag, environment, file, default.
    ///
    /// # Errors
    /// All errors of the resulting configuration.
    pub fn load(&self, path: &Path) -> Result<LoadedConfig, Problems> {
        let mut overrides = environment_overrides();
        overrides.extend(self.flag_overrides());
        LoadedConfig::from_file(path, overrides)
    }

    /// The overrides given as flags, in order of increasing precedence: a later one replaces an earlier
    /// one.
    fn flag_overrides(&self) -> Vec<Override> {
        let flags = [
            ("name", &self.name, "--name"),
            ("listen", &self.listen, "--listen"),
            ("operator", &self.operator, "--operator"),
            ("log.level", &self.log_level, "--log-level"),
            ("log.format", &self.log_format, "--log-format"),
        ];
        let named = flags
            .into_iter()
            .filter_map(|(field, text, origin)| Some(field_override(field, text.as_ref()?, origin)));
        let by_path = self.set.iter().map(|set| {
            let (field, value) = set.split_once('=').unwrap_or((set, ""));
            field_override(field.trim(), value.trim(), &format!("--set {field}"))
        });
        named.chain(by_path).collect()
    }
}

fn environment_overrides() -> Vec<Override> {
    let variables = [
        ("name", "ROUTER_NAME"),
        ("listen", "ROUTER_LISTEN"),
        ("operator", "ROUTER_OPERATOR"),
        ("discovery.address", "ROUTER_DISCOVERY"),
        ("log.level", "RUST_LOG"),
    ];
    let set = variables.into_iter().filter_map(|(field, name)| {
        let text = std::env::var(name).ok()?;
        // An empty RUST_LOG counts as unset, as in other programs that use this variable.
        let is_set = name != "RUST_LOG" || !text.is_empty();
        is_set.then(|| field_override(field, &text, &format!("${name}")))
    });
    set.collect()
}

fn field_override(field: &str, text: &str, origin: &str) -> Override {
    Override { field: field.to_owned(), text: text.to_owned(), origin: origin.to_owned() }
}
