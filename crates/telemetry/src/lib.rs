//! Telemetry.
