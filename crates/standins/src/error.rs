//! Errors of a fleet of stand-ins.

use std::io;
use thiserror::Error;

/// A fleet's description that can't be used.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SpecError {
    /// The file can't be parsed.
    #[error(transparent)]
    Syntax(#[from] toml::de::Error),
    /// Fields have values that make no sense.
    #[error("{}", .0.join("\n"))]
    Invalid(Vec<String>),
}

/// A fleet that could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// Its description can't be used.
    #[error(transparent)]
    Spec(#[from] SpecError),
    /// An address, a file or a thread could not be had.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It ended before it listened.
    #[error("the fleet has ended")]
    Ended,
}

/// An order that could not be carried out.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum OrderError {
    /// The endpoint does not exist.
    #[error("endpoint: there is no `{0}`")]
    UnknownEndpoint(String),
    /// The fault can't strike an endpoint.
    #[error("endpoint: that is no fault of an endpoint's")]
    NotOfEndpoints,
    /// The fault needs an endpoint.
    #[error("endpoint: missing")]
    MissingEndpoint,
    /// The fleet has ended.
    #[error("the fleet has ended")]
    Ended,
}
