//! Peer.
