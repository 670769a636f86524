//! Rules of the service router, in tables and by simulation.

mod admission;
mod budget;
mod choice;
mod fixtures;
mod health;
mod hedging;
mod invariants;
mod leaf_model;
mod limits;
mod service_model;
mod simulation;
