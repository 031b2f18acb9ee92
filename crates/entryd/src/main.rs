//! Entry daemon: a thin shell around one [`node::Node`].
//!
//! It owns the clock and the sockets. Everything that happens becomes an input
//! of the node, and everything that the node wants is carried out here; no
//! decision about a request is made in this crate.

mod attempts;
mod callers;
mod calls;
mod clock;
mod events;
mod exchange;
mod explain;
mod hops;
mod outside;
mod prompt;
mod saved;
mod shell;
mod state;

use std::{env, process::ExitCode};

use anyhow::{Context, Result};
use settings::{EntrySettings, Identity};
use telemetry::{Event, event};
use tokio::net::TcpListener;

fn main() -> ExitCode {
    let settings = match settings::entry(env::args_os(), env::vars_os()) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(errors.exit_code());
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("entryd: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: EntrySettings) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("can't start the runtime")?;
    runtime.block_on(async {
        let identity = &settings.identity;
        let name = identity.name.to_string();
        let guard = telemetry::start("entryd", &name, &settings.telemetry)?;
        let bound = bind(identity).await;
        let (callers, peers) = bound.inspect_err(|err| {
            event!(Event::StartFailed, why = format!("{err:#}"));
        })?;
        let ended = shell::serve(settings, callers, peers).await;
        drop(guard);
        ended
    })
}

async fn bind(identity: &Identity) -> Result<(TcpListener, TcpListener)> {
    let own = listen(identity.listen).await?;
    Ok((own, listen(identity.peer_listen).await?))
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.with_context(|| format!("can't listen on {address}"))
}
