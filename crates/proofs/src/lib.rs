//! Support for tests of the program as separate processes; not shipped.
