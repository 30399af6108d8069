//! Validation of settings. An error names each field with an invalid value.

use super::Settings;
use thiserror::Error;

/// An invalid setting.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsError {
    /// There are no classes.
    #[error("classes: there must be at least one")]
    NoClasses,
    /// A value lies outside its range.
    #[error("{field}: {value} is out of range, {low} to {high}")]
    OutOfRange {
        /// The path of the setting.
        field: String,
        /// Its value.
        value: f64,
        /// The minimum.
        low: f64,
        /// The maximum.
        high: f64,
    },
}

impl Settings {
    /// Checks that the settings are valid.
    ///
    /// # Errors
    /// Returns the first of [`Settings::problems`].
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.problems().into_iter().next().map_or(Ok(()), Err)
    }

    /// Returns all invalid fields.
    pub fn problems(&self) -> Vec<SettingsError> {
        let mut problems = Vec::new();
        if self.classes.is_empty() {
            problems.push(SettingsError::NoClasses);
        }
        let mut within = |field: String, value: f64, low: f64, high: f64| {
            if !(low..=high).contains(&value) {
                problems.push(SettingsError::OutOfRange { field, value, low, high });
            }
        };
        within("balancers".to_owned(), f64::from(self.balancers), 1.0, 1e6);
        within("limits.max_attempts".to_owned(), f64::from(self.limits.max_attempts), 1.0, 1e6);
        within("rules.cold_share".to_owned(), self.rules.cold_share, 0.0, 1.0);
        within("rules.fall_multiple".to_owned(), self.rules.fall_multiple, 0.0, 1e6);
        within("over_share_worth".to_owned(), self.over_share_worth, 0.0, 1.0);
        let goal = &self.goal;
        for (field, value) in [
            ("whole", goal.whole),
            ("worst_window", goal.worst_window),
            ("worst_class", goal.worst_class),
            ("worst_tenant", goal.worst_tenant),
            ("nines", goal.nines),
            ("nines_wanted", goal.nines_wanted),
        ] {
            within(format!("goal.{field}"), value, 0.0, 1e6);
        }
        for (n, class) in self.classes.iter().enumerate() {
            within(format!("classes[{n}].worth"), class.worth, 0.0, 1e12);
            within(format!("classes[{n}].late_value"), class.late_value, 0.0, 1.0);
            within(format!("classes[{n}].aim_stretch"), class.aim_stretch, 0.0, 1e6);
            within(format!("classes[{n}].objective"), class.objective.as_secs_f64(), 1e-6, 1e6);
            within(format!("classes[{n}].deadline"), class.deadline.as_secs_f64(), 1e-6, 1e6);
        }
        for (n, tenant) in self.tenants.iter().enumerate() {
            within(format!("tenants[{n}].allowance_per_s"), tenant.allowance_per_s, 0.0, 1e12);
            within(format!("tenants[{n}].portion"), tenant.portion, 0.0, 1.0);
        }
        problems
    }
}
