//! Tests of the service router: single rules, properties and simulations.

mod admission;
mod budget;
mod choice;
mod fixtures;
mod health;
mod hedging;
mod invariants;
mod limits;
mod service_model;
mod simulation;
mod upstream_model;
