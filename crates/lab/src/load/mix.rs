//! What requests are made of, as a file says it.

use curlewhub_config::RepeatPolicy;
use curlewhub_config::units::{Size, Span};
use curlewhub_model::RetrySpec;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A mix of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// The classes.
    pub classes: Vec<ClassMix>,
    /// The tenants; requests name none where there is none.
    #[serde(default)]
    pub tenants: Vec<TenantMix>,
    /// What clients do by themselves where they are not served.
    #[serde(default)]
    pub retry: RetrySpec,
}

/// One class.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassMix {
    /// Its name, the first part of the path.
    pub name: String,
    /// Its part of all requests; parts are taken in proportion.
    pub share: f64,
    /// Whether its requests may run again.
    #[serde(default)]
    pub repeat: RepeatPolicy,
    /// An answer within this is in time.
    pub objective: Span,
    /// A client waits for this long in all.
    pub deadline: Span,
    /// Length of the body, where there is one.
    #[serde(default)]
    pub body: Size,
}

/// One tenant.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TenantMix {
    /// Its name.
    pub name: String,
    /// Its part of all requests.
    pub share: f64,
}

impl Default for Mix {
    /// Views that are safe to repeat, and jobs that carry a key.
    fn default() -> Self {
        let class = |name: &str, share, repeat, objective, deadline, body| ClassMix {
            name: name.to_owned(),
            share,
            repeat,
            objective: Span(Duration::from_millis(objective)),
            deadline: Span(Duration::from_millis(deadline)),
            body: Size(body),
        };
        Mix {
            classes: vec![
                class("proof-view", 0.65, RepeatPolicy::Safe, 1200, 3000, 0),
                class("job-submit", 0.35, RepeatPolicy::Keyed, 1500, 4000, 212),
            ],
            tenants: Vec::new(),
            retry: RetrySpec::default(),
        }
    }
}

impl Mix {
    /// Reads a mix file.
    ///
    /// # Errors
    /// What is wrong with it, with the line where the parser can tell it.
    pub fn parse(text: &str) -> Result<Mix, String> {
        let mix: Mix = toml::from_str(text).map_err(|e| e.to_string())?;
        let problems = mix.problems();
        if problems.is_empty() { Ok(mix) } else { Err(problems.join("\n")) }
    }

    /// All that makes no sense, field by field.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut wants = |ok: bool, field: String, allowed: &str| {
            if !ok {
                problems.push(format!("{field}: allowed: {allowed}"));
            }
        };
        let share = |share: f64| share > 0.0 && share.is_finite();
        let token =
            |name: &str| !name.is_empty() && name.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
        wants(!self.classes.is_empty(), "classes".to_owned(), "at least one");
        for (n, class) in self.classes.iter().enumerate() {
            wants(token(&class.name), format!("classes[{n}].name"), "text without spaces and slashes");
            wants(share(class.share), format!("classes[{n}].share"), "over 0");
            wants(!class.deadline.0.is_zero(), format!("classes[{n}].deadline"), "over 0");
            wants(class.body.0 <= 32 << 20, format!("classes[{n}].body"), "up to 32MiB");
        }
        for (n, tenant) in self.tenants.iter().enumerate() {
            wants(token(&tenant.name), format!("tenants[{n}].name"), "text without spaces and slashes");
            wants(share(tenant.share), format!("tenants[{n}].share"), "over 0");
        }
        for (field, allowed) in self.retry.problems() {
            wants(false, format!("retry.{field}"), allowed);
        }
        problems
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_default_is_valid_and_what_is_not_is_told_by_field() {
        assert_eq!(Mix::default().problems(), [""; 0]);
        let text = toml::to_string(&Mix::default()).unwrap();
        assert_eq!(Mix::parse(&text).unwrap().classes.len(), 2, "{text}");
        let wrong =
            text.replace("share = 0.65", "share = -1.0").replace("try_share = 0.9", "try_share = 2.0");
        let problem = Mix::parse(&wrong).unwrap_err();
        assert!(problem.contains("classes[0].share") && problem.contains("retry.try_share"), "{problem}");
        assert!(Mix::parse(&text.replace("growth", "grwth")).unwrap_err().contains("grwth"));
    }
}
