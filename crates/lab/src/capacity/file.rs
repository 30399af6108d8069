//! The capacity file: what was measured, and how; read with one error for each wrong field.

use super::fit::{Fit, Point};
use super::target::Dimension;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::path::Path;

/// The version of the file that this build writes and reads.
pub const FORMAT: u32 = 1;
/// Sizes that a slope is measured at, at the least.
pub const SIZES_LEAST: usize = 5;

/// A curve that leaves over more than this part of the mean value tells nothing of the target.
const RESIDUAL_MOST: f64 = 0.25;

/// A role of the fleet.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The part of a sidecar that calls go through.
    SidecarDataPath,
    /// The part of a sidecar that follows its fleet.
    SidecarControl,
    /// A server that agrees on versions.
    ConsensusServer,
    /// Where endpoint lists come from.
    Discovery,
}

impl Role {
    /// All roles.
    pub const ALL: [Role; 4] =
        [Role::SidecarDataPath, Role::SidecarControl, Role::ConsensusServer, Role::Discovery];
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Role::SidecarDataPath => "sidecar, data path",
            Role::SidecarControl => "sidecar, control plane",
            Role::ConsensusServer => "consensus server",
            Role::Discovery => "discovery",
        })
    }
}

/// How one quantity of one role grows with one dimension.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Its name, of its own in the file.
    pub id: String,
    /// The role.
    pub role: Role,
    /// What was measured.
    pub quantity: String,
    /// In this unit.
    pub unit: String,
    /// What it grows with.
    pub grows_with: Dimension,
    /// What the run was: the real code that it measured, and what was held fixed.
    pub run: String,
    /// The sizes that were measured.
    pub points: Vec<Point>,
    /// For processor time: the baseline of the same run, at the same sizes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub baseline: Vec<Point>,
    /// What the baseline was.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub baseline_of: String,
    /// The curve through the points.
    pub fit: Fit,
    /// The commit that was measured, where it is another one than the file's.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub commit: String,
}

/// One figure of one event or one run, which is no slope.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Figure {
    /// Its name, of its own in the file.
    pub id: String,
    /// The role.
    pub role: Role,
    /// What was measured.
    pub quantity: String,
    /// In this unit.
    pub unit: String,
    /// What the run was.
    pub run: String,
    /// What was measured.
    pub value: f64,
}

/// All that was measured in one run of `curlewhub-lab capacity measure`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CapacityFile {
    /// The version of the file.
    pub format: u32,
    /// All that was drawn follows from it.
    pub seed: u64,
    /// The commit of the program that was measured.
    pub commit: String,
    /// How the run was made, for people.
    pub machine: String,
    /// Slopes.
    pub slopes: Vec<Slope>,
    /// Figures of single events.
    pub figures: Vec<Figure>,
}

/// Only the version, which is looked at before anything else.
#[derive(Deserialize)]
struct Versioned {
    format: u32,
}

impl CapacityFile {
    /// Reads a file.
    ///
    /// # Errors
    /// One line for each field that is wrong; one alone for a file of another version.
    pub fn read(path: &Path) -> Result<CapacityFile, Vec<String>> {
        let text = std::fs::read_to_string(path).map_err(|e| vec![format!("{}: {e}", path.display())])?;
        CapacityFile::parse(&text)
    }

    /// Reads a file's text.
    ///
    /// # Errors
    /// As those of [`CapacityFile::read`].
    pub fn parse(text: &str) -> Result<CapacityFile, Vec<String>> {
        let versioned: Versioned = serde_json::from_str(text).map_err(|e| vec![format!("format: {e}")])?;
        if versioned.format != FORMAT {
            let read = versioned.format;
            return Err(vec![format!("format: {read} is not read by this build, which reads {FORMAT}")]);
        }
        let file: CapacityFile = serde_json::from_str(text).map_err(|e| vec![e.to_string()])?;
        let problems = file.problems();
        if problems.is_empty() { Ok(file) } else { Err(problems) }
    }

    /// The slope of this name.
    pub fn slope(&self, id: &str) -> Option<&Slope> {
        self.slopes.iter().find(|slope| slope.id == id)
    }

    /// The figure of this name.
    pub fn figure(&self, id: &str) -> Option<&Figure> {
        self.figures.iter().find(|figure| figure.id == id)
    }

    /// Takes the slopes of these names from another run, and notes its commit with them.
    ///
    /// # Errors
    /// One line for each name that one of the two does not have.
    pub fn take(&mut self, names: &[String], from: &CapacityFile) -> Result<(), Vec<String>> {
        let mut problems = Vec::new();
        for name in names {
            let own = self.slopes.iter_mut().find(|slope| slope.id == *name);
            match (own, from.slope(name)) {
                (Some(own), Some(other)) => *own = Slope { commit: from.commit.clone(), ..other.clone() },
                _ => problems.push(format!("slopes.{name}: is missing")),
            }
        }
        if problems.is_empty() { Ok(()) } else { Err(problems) }
    }

    /// All fields that make no sense, each once.
    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut names = BTreeSet::new();
        for slope in &self.slopes {
            problems.extend(slope.problems());
            if !names.insert(&slope.id) {
                problems.push(format!("slopes.{}.id: is there twice", slope.id));
            }
        }
        for figure in &self.figures {
            if !figure.value.is_finite() || figure.value < 0.0 {
                problems.push(format!("figures.{}.value: allowed: 0 or more", figure.id));
            }
            if !names.insert(&figure.id) {
                problems.push(format!("figures.{}.id: is there twice", figure.id));
            }
        }
        problems
    }
}

impl Slope {
    /// Whether its curve tells anything beyond its points.
    pub fn is_usable(&self) -> bool {
        self.fit.residual <= RESIDUAL_MOST
    }

    fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut wrong = |field: &str, problem: &str| {
            problems.push(format!("slopes.{}.{field}: {problem}", self.id));
        };
        let sizes: BTreeSet<u64> = self.points.iter().map(|point| point.size.to_bits()).collect();
        if sizes.len() < SIZES_LEAST {
            wrong("points", &format!("at least {SIZES_LEAST} sizes"));
        }
        let sound = |point: &Point| point.size.is_finite() && point.size >= 0.0 && point.value.is_finite();
        if !self.points.iter().chain(&self.baseline).all(sound) {
            wrong("points", "allowed: sizes of 0 or more, and finite values");
        }
        if !self.baseline.is_empty() && self.baseline.len() != self.points.len() {
            wrong("baseline", "one for each point");
        }
        if Fit::best(&self.points).is_some_and(|fit| !fit.is_near(&self.fit)) {
            wrong("fit", "is not the curve through the points");
        }
        problems
    }
}

impl Fit {
    /// Whether two curves are one, but for the last digits that a file rounds.
    fn is_near(&self, other: &Fit) -> bool {
        let near = |a: f64, b: f64| (a - b).abs() <= 1e-6 * (a.abs() + b.abs()) + 1e-9;
        self.shape == other.shape
            && near(self.first, other.first)
            && near(self.second, other.second)
            && near(self.residual, other.residual)
    }
}
