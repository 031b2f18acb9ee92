//! Start and stop of a daemon.

use std::{net::SocketAddr, process::ExitCode};

use anyhow::{Context, Result};
use settings::{Identity, Telemetry};
use telemetry::{Event, event};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
};

/// The two listeners of a daemon.
#[derive(Debug)]
pub struct Listeners {
    /// For callers (entry daemon) or operators (control daemon).
    pub clients: TcpListener,
    /// For other instances, and for operators' queries to an entry daemon.
    pub peers: TcpListener,
}

/// Runs a daemon: starts the runtime, telemetry and listeners, then runs `serve` to its
/// end.
///
/// Errors are written to stderr. Invalid settings have an exit code of their own.
/// `common` returns the sections of the settings that all daemons have.
pub fn main<S, F>(
    program: &str,
    settings: Result<S, settings::Errors>,
    common: impl FnOnce(&S) -> (&Identity, &Telemetry),
    serve: impl FnOnce(S, Listeners) -> F,
) -> ExitCode
where
    F: Future<Output = Result<()>>,
{
    let settings = match settings {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(errors.exit_code());
        }
    };
    match run(program, settings, common, serve) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{program}: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run<S, F>(
    program: &str,
    settings: S,
    common: impl FnOnce(&S) -> (&Identity, &Telemetry),
    serve: impl FnOnce(S, Listeners) -> F,
) -> Result<()>
where
    F: Future<Output = Result<()>>,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("can't start the runtime")?;
    runtime.block_on(async {
        let (identity, telemetry) = common(&settings);
        let guard = telemetry::start(program, identity.name.as_str(), telemetry)?;
        let bound = bind(identity).await;
        let listeners = bound.inspect_err(|err| {
            event!(Event::StartFailed, why = format!("{err:#}"));
        })?;
        log_hangups()?;
        let ended = serve(settings, listeners).await;
        if let Err(err) = &ended {
            event!(Event::Failed, why = format!("{err:#}"));
        }
        drop(guard);
        ended
    })
}

/// Logs each SIGHUP, which would end the process without a line.
fn log_hangups() -> Result<()> {
    let mut hangups = signal(SignalKind::hangup()).context("can't listen for SIGHUP")?;
    tokio::spawn(async move {
        while hangups.recv().await.is_some() {
            event!(Event::HangupIgnored);
        }
    });
    Ok(())
}

async fn bind(identity: &Identity) -> Result<Listeners> {
    let clients = listen(identity.listen).await?;
    let peers = listen(identity.peer_listen).await?;
    Ok(Listeners { clients, peers })
}

/// Listens on an address.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn listen(address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.with_context(|| format!("can't listen on {address}"))
}

/// Returns a future that completes when the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signal handlers can't be installed.
pub fn stop_signal() -> Result<impl Future<Output = ()>> {
    let mut term = signal(SignalKind::terminate()).context("can't listen for SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).context("can't listen for SIGINT")?;
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    })
}
