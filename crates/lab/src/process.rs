//! Child processes: start, signals and exit.

use std::{
    env,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::Stdio,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use anyhow::{Context, Result, bail};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    process::{Child, Command},
    time::timeout,
};

/// First port for daemons, and the number of ports; the range ends below 32768,
/// where Linux's range of ephemeral ports begins by default.
const PORT_MIN: u32 = 10_000;
const PORT_COUNT: u32 = 22_000;

/// Longest wait for a process to print its address; waits for its exit are three times as long.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A child process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The name that it was given at its start.
    pub name: String,
}

impl Process {
    /// Starts `program` with `args`; its standard error goes to `log`.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started.
    pub fn start(name: &str, program: &Path, args: &[String], log: &Path) -> Result<Process> {
        Process::start_with(name, program, args, &[], log)
    }

    /// Does the same with additional environment variables.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started.
    pub fn start_with(
        name: &str,
        program: &Path,
        args: &[String],
        env: &[(String, String)],
        log: &Path,
    ) -> Result<Process> {
        let file = std::fs::File::options().create(true).append(true).open(log);
        let file = file.with_context(|| format!("can't write {}", log.display()))?;
        let child = Command::new(program)
            .args(args)
            .envs(env.iter().cloned())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("can't start {}", program.display()))?;
        let name = name.to_owned();
        Ok(Process { child, name })
    }

    /// Reads the first line that the process prints: its address.
    ///
    /// # Errors
    ///
    /// Fails when it prints none in time, exits before, or was asked before.
    pub async fn address(&mut self) -> Result<SocketAddr> {
        let out = self
            .child
            .stdout
            .take()
            .context("the address was read before")?;
        let mut lines = BufReader::new(out).lines();
        let line = timeout(TIMEOUT, lines.next_line()).await??;
        let line =
            line.with_context(|| format!("{} exited without printing its address", self.name))?;
        // The rest of its output is read and dropped, so that the pipe doesn't fill.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(line.trim().parse()?)
    }

    /// Returns the process id; `None` once the process has exited.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Fails when the process has exited.
    pub async fn signal(&self, signal: &str) -> Result<()> {
        let pid = self.child.id().context("the process has exited")?;
        let sent = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(pid.to_string())
            .status()
            .await?;
        if !sent.success() {
            bail!("can't send {signal} to {}", self.name);
        }
        Ok(())
    }

    /// Kills the process with SIGKILL.
    ///
    /// # Errors
    ///
    /// Fails when it can't be killed.
    pub async fn kill(&mut self) -> Result<()> {
        Ok(self.child.kill().await?)
    }

    /// Waits for the process to exit by itself; returns whether it exited with
    /// success.
    ///
    /// # Errors
    ///
    /// Fails when it doesn't exit in time.
    pub async fn wait_exit(&mut self) -> Result<bool> {
        let status = timeout(TIMEOUT * 3, self.child.wait()).await;
        let status = status.with_context(|| format!("{} doesn't exit in time", self.name))??;
        if !status.success() {
            eprintln!("{}: {status}", self.name);
        }
        Ok(status.success())
    }

    /// Returns whether the process is still running; says how it ended otherwise.
    ///
    /// # Errors
    ///
    /// Fails when the system can't tell.
    pub fn is_running(&mut self) -> Result<bool> {
        let Some(status) = self.child.try_wait()? else {
            return Ok(true);
        };
        eprintln!("{} has ended before it was stopped: {status}", self.name);
        Ok(false)
    }
}

/// Returns the path of a binary of this workspace, which must have been built.
///
/// # Errors
///
/// Fails when it isn't built.
pub fn binary(name: &str) -> Result<PathBuf> {
    let exe = env::current_exe()?;
    let mut dir = exe
        .parent()
        .context("the executable has no parent folder")?;
    if dir.ends_with("deps") || dir.ends_with("examples") {
        dir = dir
            .parent()
            .context("the executable has no parent folder")?;
    }
    let path = dir.join(name);
    if !path.exists() {
        bail!("{name} is not built: run `cargo build --workspace --bins`");
    }
    Ok(path)
}

/// Returns a loopback address that nobody listens on now.
///
/// Only ports below the ephemeral range are tried: the system could give a port of
/// that range to an outgoing connection before the daemon listens on it.
///
/// # Errors
///
/// Fails when no port is free.
pub fn free_port() -> Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORT_COUNT {
        let start = std::process::id() * 97;
        let nth = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let port = u16::try_from(PORT_MIN + nth)?;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    bail!("no port of the range is free")
}
