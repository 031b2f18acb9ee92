//! One process, its signals and its end.

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

/// First port that daemons are given, and how many there are; above them the
/// system's own range begins.
const FIRST_PORT: u32 = 10_000;
const PORTS: u32 = 22_000;

/// Longest wait for a process to say its address or to end.
const CEILING: Duration = Duration::from_secs(60);

/// A process that was started here; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// What it was started as.
    pub name: String,
}

impl Process {
    /// Starts `program` with `args`; its standard error goes to `log`.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started.
    pub fn start(name: &str, program: &Path, args: &[String], log: &Path) -> Result<Process> {
        let file = std::fs::File::options().create(true).append(true).open(log);
        let file = file.with_context(|| format!("can't write {}", log.display()))?;
        let child = Command::new(program)
            .args(args)
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
    /// Fails when it prints none in time.
    pub async fn address(&mut self) -> Result<SocketAddr> {
        let out = self.child.stdout.take().context("the output was taken")?;
        let mut lines = BufReader::new(out).lines();
        let line = timeout(CEILING, lines.next_line()).await??;
        let line = line.with_context(|| format!("{} ended without an address", self.name))?;
        // The rest of its output is not needed, but must not fill the pipe.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(line.trim().parse()?)
    }

    /// Returns the system's number of the process; none once it has ended.
    pub(crate) fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub async fn signal(&self, signal: &str) -> Result<()> {
        let pid = self.child.id().context("the process has ended")?;
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

    /// Ends the process at once.
    ///
    /// # Errors
    ///
    /// Fails when it can't be killed.
    pub async fn kill(&mut self) -> Result<()> {
        Ok(self.child.kill().await?)
    }

    /// Waits for the process to end by itself; returns whether it did so in
    /// order.
    ///
    /// # Errors
    ///
    /// Fails when it doesn't end in time.
    pub async fn wait_exit(&mut self) -> Result<bool> {
        let status = timeout(CEILING * 3, self.child.wait()).await;
        let status = status.with_context(|| format!("{} doesn't end", self.name))??;
        Ok(status.success())
    }
}

/// Returns the path of a binary of this workspace, built before.
///
/// # Errors
///
/// Fails when it isn't there.
pub fn binary(name: &str) -> Result<PathBuf> {
    let exe = env::current_exe()?;
    let mut dir = exe.parent().context("no folder")?;
    if dir.ends_with("deps") || dir.ends_with("examples") {
        dir = dir.parent().context("no folder")?;
    }
    let path = dir.join(name);
    if !path.exists() {
        bail!("{name} is not built: run `cargo build --workspace --bins`");
    }
    Ok(path)
}

/// Returns a loopback address that nobody listens on now.
///
/// Ports below the range that the system gives to outgoing connections are
/// tried one after the other: a port from that range may be taken by some
/// connection before the daemon that it is meant for listens on it.
///
/// # Errors
///
/// Fails when no port is left.
pub fn free_port() -> Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORTS {
        let start = std::process::id() * 97;
        let nth = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let port = u16::try_from(FIRST_PORT + nth)?;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    bail!("no port is left")
}
