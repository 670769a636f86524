//! One node: listeners, drivers and wiring.
