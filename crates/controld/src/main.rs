//! Control daemon: a thin shell around one [`control::Control`].
//!
//! It owns the clock, the sockets and the data folder; what is accepted,
//! granted or claimed is decided by the value inside.

mod clock;
mod operators;
mod peers;
mod shell;
mod state;

use std::{env, process::ExitCode};

use anyhow::{Context, Result};
use settings::{ControlSettings, Identity};
use telemetry::{Event, event};
use tokio::net::TcpListener;

fn main() -> ExitCode {
    let settings = match settings::control(env::args_os(), env::vars_os()) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return ExitCode::from(errors.exit_code());
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("controld: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: ControlSettings) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("can't start the runtime")?;
    runtime.block_on(async {
        let identity = &settings.identity;
        let name = identity.name.to_string();
        let guard = telemetry::start("controld", &name, &settings.telemetry)?;
        let bound = bind(identity).await;
        let (operators, peers) = bound.inspect_err(|err| {
            event!(Event::StartFailed, why = format!("{err:#}"));
        })?;
        let ended = shell::serve(settings, operators, peers).await;
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
