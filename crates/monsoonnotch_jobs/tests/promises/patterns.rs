//! Patterns of load, each with the test that names it.
