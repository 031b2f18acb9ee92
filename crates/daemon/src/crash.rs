//! Finds out whether a target has crashed, and logs which requests are refused as they
//! crash targets.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use quarantine::Change;
use telemetry::event;
use tokio::{net::TcpStream, time::timeout};

/// Time-out of the check's connection. A target that doesn't answer within it may be cut
/// off.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// What became of a target whose connections broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It no longer listens.
    Crashed,
    /// It still answers.
    Running,
    /// It can't be reached: it may be cut off.
    Silent,
}

impl Fate {
    /// Finds out what became of the target that listened at `addr`.
    pub async fn of(addr: SocketAddr) -> Fate {
        match timeout(CHECK_TIMEOUT, TcpStream::connect(addr)).await {
            Ok(Ok(_)) => Fate::Running,
            Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => Fate::Crashed,
            Ok(Err(_)) | Err(_) => Fate::Silent,
        }
    }

    /// Returns the value of the metrics label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Fate::Crashed => "crashed",
            Fate::Running => "running",
            Fate::Silent => "silent",
        }
    }
}

/// Logs a change of what is refused. `by` says whose verdict it is.
pub fn log_quarantine(change: &Change, by: &str) {
    match change {
        Change::Held(fingerprint, held) => event!(
            telemetry::Event::RequestHeld,
            fingerprint = fingerprint.to_string(),
            kind = fingerprint.kind(),
            crashes = held.crashes,
            left_ms = held.left.as_millis(),
            by = by
        ),
        Change::Lifted(fingerprint) | Change::Disputed(fingerprint) => event!(
            telemetry::Event::RequestCleared,
            fingerprint = fingerprint.to_string(),
            kind = fingerprint.kind()
        ),
    }
}
