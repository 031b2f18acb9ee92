//! Membership.
