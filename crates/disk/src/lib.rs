//! Disk.
