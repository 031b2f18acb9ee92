//! A small deployment: stand-ins, control and entry daemons, and their configuration
//! text.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::PathBuf, time::Duration};

use anyhow::{Context, Result, bail};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::{Caller, Links, Process, binary, free_port};

/// Longest wait for a state of the deployment; ample, so that only a failure takes
/// that long.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Pause between two checks of a state that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The size and shape of a deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Zones, by name.
    pub zones: Vec<String>,
    /// Entry instances in each zone.
    pub entries: usize,
    /// Control instances, spread over the zones.
    pub controls: usize,
    /// Engines in each zone, by pool.
    pub engines: BTreeMap<String, usize>,
    /// Zones that have engines; all when empty.
    pub engine_zones: Vec<String>,
    /// Replicas of plain services in each zone, by pool.
    pub plain: BTreeMap<String, usize>,
    /// Additional flags for every engine's stand-in.
    pub engine_flags: Vec<String>,
    /// Rate limit of the weight store, in loads per second.
    pub store_rate: u32,
    /// Additional flags for every daemon.
    pub daemon_flags: Vec<String>,
    /// Additional environment variables for every daemon.
    pub daemon_env: Vec<(String, String)>,
    /// Whether instances and targets are reached over links that can be cut.
    pub links: bool,
}

impl Plan {
    /// Makes a plan of one zone with one entry instance, three control
    /// instances, two engines and one portal replica.
    #[must_use]
    pub fn small() -> Self {
        Plan {
            zones: vec!["dubrava".to_owned()],
            entries: 1,
            controls: 3,
            engines: BTreeMap::from([("drafting".to_owned(), 2)]),
            engine_zones: Vec::new(),
            plain: BTreeMap::from([("portal".to_owned(), 1)]),
            engine_flags: Vec::new(),
            store_rate: 20,
            daemon_flags: Vec::new(),
            daemon_env: Vec::new(),
            links: false,
        }
    }
}

/// A daemon with its addresses.
#[derive(Debug)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The address for callers (entry instances) or operators (control instances).
    pub listen: SocketAddr,
    /// The address for other instances: that of its link, if links can be cut.
    pub peer: SocketAddr,
    /// The process; `None` while it is stopped.
    pub process: Option<Process>,
    args: Vec<String>,
    env: Vec<(String, String)>,
}

/// The stand-in of a target: of an engine or a plain service's replica.
#[derive(Debug)]
pub struct Engine {
    /// Its name in the platform's list.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its pool.
    pub pool: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The address in the platform's list: that of its link, if links can be cut.
    pub listed: SocketAddr,
    /// The process.
    pub process: Process,
}

/// A running deployment.
#[derive(Debug)]
pub struct Lab {
    /// Folder of logs and data; kept until [`Lab::clean`] is called.
    pub folder: PathBuf,
    /// Control instances.
    pub controls: Vec<Instance>,
    /// Entry instances.
    pub entries: Vec<Instance>,
    /// Engines.
    pub engines: Vec<Engine>,
    /// Replicas of plain services.
    pub services: Vec<Engine>,
    /// Address of the platform's stand-in, which serves the list of instances and
    /// targets.
    pub platform: SocketAddr,
    /// Address of the weight store's stand-in.
    pub store: SocketAddr,
    /// The links between instances and to targets; `None` if they can't be cut.
    pub links: Option<Links>,
    serial: u64,
    _standins: Vec<Process>,
}

impl Lab {
    /// Starts all processes and waits until a control instance leads.
    ///
    /// # Errors
    ///
    /// Fails when a process doesn't start or no leader is elected in time.
    pub async fn start(name: &str, plan: &Plan) -> Result<Lab> {
        let folder = new_folder(name)?;
        let mut standins = Vec::new();
        let rate = plan.store_rate.to_string();
        let flags = ["store", "--rate", &rate, "--load-ms", "50"];
        let (store, process) = standin(&folder, "store", &flags).await?;
        standins.push(process);
        let (platform, process) = standin(&folder, "platform", &["platform"]).await?;
        standins.push(process);
        let mut lab = Lab {
            folder,
            controls: Vec::new(),
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            platform,
            store,
            links: plan.links.then(Links::new),
            serial: 0,
            _standins: standins,
        };
        lab.start_targets(plan).await?;
        lab.add_daemons(plan).await?;
        lab.publish().await?;
        for i in 0..lab.controls.len() {
            lab.start_control(i)?;
        }
        for i in 0..lab.entries.len() {
            lab.start_entry(i)?;
        }
        lab.wait_leader().await?;
        Ok(lab)
    }

    async fn start_targets(&mut self, plan: &Plan) -> Result<()> {
        for zone in &plan.zones {
            let has_engines = plan.engine_zones.is_empty() || plan.engine_zones.contains(zone);
            for (pool, count) in plan.engines.iter().filter(|_| has_engines) {
                for i in 1..=*count {
                    let name = format!("{pool}-{zone}-{i}");
                    let store = self.store.to_string();
                    let mut flags = vec!["engine", "--store", &store];
                    flags.extend(plan.engine_flags.iter().map(String::as_str));
                    let engine = self.target(&name, zone, pool, &flags).await?;
                    self.engines.push(engine);
                }
            }
            for (pool, count) in &plan.plain {
                for i in 1..=*count {
                    let name = format!("{pool}-{zone}-{i}");
                    let service = self.target(&name, zone, pool, &["service"]).await?;
                    self.services.push(service);
                }
            }
        }
        Ok(())
    }

    async fn target(&self, name: &str, zone: &str, pool: &str, flags: &[&str]) -> Result<Engine> {
        let (address, process) = standin(&self.folder, name, flags).await?;
        let listed = self.link(name, address).await?;
        Ok(Engine {
            name: name.to_owned(),
            zone: zone.to_owned(),
            pool: pool.to_owned(),
            address,
            listed,
            process,
        })
    }

    async fn add_daemons(&mut self, plan: &Plan) -> Result<()> {
        for i in 0..plan.controls {
            let zone = &plan.zones[i % plan.zones.len()];
            let control = self.instance(&format!("control-{}", i + 1), zone).await?;
            self.controls.push(control);
        }
        let voters = self.control_peers();
        for control in &mut self.controls {
            let data = self.folder.join(&control.name);
            control.args.extend(flag("data", &data.to_string_lossy()));
            control.args.extend(flag("voters", &voters));
            control.args.extend(plan.daemon_flags.iter().cloned());
            control.env.clone_from(&plan.daemon_env);
        }
        for zone in &plan.zones {
            for i in 1..=plan.entries {
                let mut entry = self.instance(&format!("{zone}-{i}"), zone).await?;
                entry.args.extend(flag("controls", &voters));
                entry.args.extend(flag("drain-grace", "2000"));
                entry.args.extend(plan.daemon_flags.iter().cloned());
                entry.env.clone_from(&plan.daemon_env);
                self.entries.push(entry);
            }
        }
        Ok(())
    }

    /// Returns the address by which instances reach the listener at `address`: that of
    /// a new link, if links can be cut.
    async fn link(&self, name: &str, address: SocketAddr) -> Result<SocketAddr> {
        match &self.links {
            Some(links) => links.open(name, address).await,
            None => Ok(address),
        }
    }

    async fn instance(&self, name: &str, zone: &str) -> Result<Instance> {
        let (listen, own) = (free_port()?, free_port()?);
        let peer = self.link(name, own).await?;
        let mut args = Vec::new();
        args.extend(flag("name", name));
        args.extend(flag("zone", zone));
        args.extend(flag("listen", &listen.to_string()));
        args.extend(flag("peer-listen", &own.to_string()));
        args.extend(flag("peer-address", &peer.to_string()));
        args.extend(flag("platform", &format!("http://{}", self.platform)));
        Ok(Instance {
            name: name.to_owned(),
            zone: zone.to_owned(),
            listen,
            peer,
            process: None,
            args,
            env: Vec::new(),
        })
    }

    fn control_peers(&self) -> String {
        let all = self.controls.iter();
        let all: Vec<_> = all.map(|c| format!("{}={}", c.name, c.peer)).collect();
        all.join(",")
    }

    /// Starts or restarts control instance `i`.
    ///
    /// # Errors
    ///
    /// Fails when the daemon isn't built.
    pub fn start_control(&mut self, i: usize) -> Result<()> {
        let links = self.links.as_ref();
        start("controld", &self.folder, links, &mut self.controls[i])
    }

    /// Starts or restarts entry instance `i`.
    ///
    /// # Errors
    ///
    /// Fails when the daemon isn't built.
    pub fn start_entry(&mut self, i: usize) -> Result<()> {
        let links = self.links.as_ref();
        start("entryd", &self.folder, links, &mut self.entries[i])
    }

    /// Publishes the platform's list of all entry instances and targets.
    ///
    /// # Errors
    ///
    /// Fails when the platform's stand-in doesn't answer.
    pub async fn publish(&mut self) -> Result<()> {
        self.publish_leaving(&[]).await
    }

    /// Publishes the platform's list with the instances and targets named in `leaving`
    /// in the state "leaving".
    ///
    /// # Errors
    ///
    /// Fails when the platform's stand-in doesn't answer.
    pub async fn publish_leaving(&mut self, leaving: &[&str]) -> Result<()> {
        self.serial += 1;
        let state = |name: &str| {
            if leaving.contains(&name) {
                "leaving"
            } else {
                "live"
            }
        };
        let instances: Vec<Value> = self
            .entries
            .iter()
            .map(|e| {
                json!({"name": e.name, "zone": e.zone, "peer": e.peer.to_string(),
                    "state": state(&e.name)})
            })
            .collect();
        let targets = self.engines.iter().chain(&self.services);
        let targets: Vec<Value> = targets
            .map(|t| {
                json!({"name": t.name, "pool": t.pool, "zone": t.zone,
                    "address": t.listed.to_string(), "state": state(&t.name),
                    "software": "v1"})
            })
            .collect();
        let list = json!({"serial": self.serial, "instances": instances, "targets": targets});
        let platform = Caller::new(self.platform, "");
        let body = json!({ "list": list }).to_string().into();
        let reply = platform
            .send(web::Method::POST, "/admin", body, &[])
            .await?;
        anyhow::ensure!(reply.status < 300, "the platform answered {}", reply.status);
        Ok(())
    }

    /// Returns a caller of control instance `i`.
    #[must_use]
    pub fn operator(&self, i: usize) -> Caller {
        Caller::new(self.controls[i].listen, "")
    }

    /// Returns a caller of entry instance `i` with a brand's key.
    #[must_use]
    pub fn caller(&self, i: usize, key: &str) -> Caller {
        Caller::new(self.entries[i].listen, key)
    }

    /// Waits until some control instance names a leader; returns the leader's index in
    /// `controls`.
    ///
    /// # Errors
    ///
    /// Fails when none is elected in time.
    pub async fn wait_leader(&self) -> Result<usize> {
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            for i in 0..self.controls.len() {
                let Ok(status) = self.operator(i).get("/v1/status").await else {
                    continue;
                };
                let leader = status["leader"].as_str().unwrap_or_default();
                if let Some(at) = self.controls.iter().position(|c| c.name == leader) {
                    return Ok(at);
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        bail!("no control instance leads")
    }

    /// Applies a text on top of the one in force, and returns its version.
    ///
    /// # Errors
    ///
    /// Fails when it isn't accepted in time.
    pub async fn apply(&self, change: &str, text: &str) -> Result<u64> {
        let end = Instant::now() + TIMEOUT;
        let mut last = Value::Null;
        while Instant::now() < end {
            let leader = self.wait_leader().await?;
            let operator = self.operator(leader);
            let base = operator.get("/v1/status").await?["version"].clone();
            let body = json!({"change": change, "base": base, "by": "lab", "text": text});
            last = operator.post("/v1/apply", &body).await?;
            if last["outcome"] == "accepted" {
                return last["version"].as_u64().context("no version");
            }
            if last["why"]["why"] == "bad-text" {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        bail!("the text was not accepted: {last}")
    }

    /// Waits until every running entry instance is ready under a text of at
    /// least this version.
    ///
    /// # Errors
    ///
    /// Fails when one isn't in time.
    pub async fn wait_ready(&self, version: u64) -> Result<()> {
        for entry in self.entries.iter().filter(|e| e.process.is_some()) {
            let caller = Caller::new(entry.listen, "");
            let ready = async || {
                let reply = caller
                    .send(web::Method::GET, "/readyz", bytes::Bytes::new(), &[])
                    .await
                    .ok()?;
                let text = String::from_utf8_lossy(&reply.body).into_owned();
                let at: u64 = text.trim().rsplit(' ').next()?.parse().ok()?;
                (reply.status == 200 && at >= version).then_some(())
            };
            until(&format!("{} ready", entry.name), ready).await?;
        }
        Ok(())
    }

    /// Waits until every engine has an owner.
    ///
    /// # Errors
    ///
    /// Fails when one has none in time.
    pub async fn wait_owned(&self) -> Result<()> {
        let count = self.engines.len();
        let owned = async || {
            let leader = self.wait_leader().await.ok()?;
            let status = self.operator(leader).get("/v1/status").await.ok()?;
            (status["engines"].as_array()?.len() >= count).then_some(())
        };
        until("every engine owned", owned).await
    }

    /// Stops all daemons with SIGTERM; returns whether each exited with success.
    ///
    /// # Errors
    ///
    /// Fails when one doesn't exit in time.
    pub async fn stop(&mut self) -> Result<bool> {
        let mut ok = true;
        for instance in self.entries.iter_mut().chain(&mut self.controls) {
            let Some(mut process) = instance.process.take() else {
                continue;
            };
            if !process.is_running()? {
                ok = false;
                continue;
            }
            process.signal("TERM").await?;
            ok &= process.wait_exit().await?;
        }
        Ok(ok)
    }

    /// Removes logs and data; a test that fails before this call leaves them for
    /// inspection.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be removed.
    pub fn clean(&self) -> Result<()> {
        Ok(fs::remove_dir_all(&self.folder)?)
    }
}

/// Waits until `check` returns a value.
///
/// # Errors
///
/// Fails when it returns none in time; the message names `what`.
pub async fn until<T>(what: &str, check: impl AsyncFn() -> Option<T>) -> Result<T> {
    let end = Instant::now() + TIMEOUT;
    while Instant::now() < end {
        if let Some(found) = check().await {
            return Ok(found);
        }
        sleep(POLL_INTERVAL).await;
    }
    bail!("timed out after {TIMEOUT:?} waiting for: {what}")
}

/// Makes a folder of its own for a deployment. Folders of tests that failed are kept, and
/// process ids come again.
fn new_folder(name: &str) -> Result<PathBuf> {
    let id = std::process::id();
    for no in 0_u32.. {
        let folder = std::env::temp_dir().join(format!("quetzal-{name}-{id}-{no}"));
        match fs::create_dir(&folder) {
            Ok(()) => return Ok(folder),
            Err(err) if err.kind() == std::io::ErrorKind::AlreadyExists => {}
            Err(err) => return Err(err.into()),
        }
    }
    bail!("no name is free for a folder of {name}")
}

async fn standin(
    folder: &std::path::Path,
    name: &str,
    flags: &[&str],
) -> Result<(SocketAddr, Process)> {
    let args: Vec<String> = flags.iter().map(|f| (*f).to_owned()).collect();
    let log = folder.join(format!("{name}.log"));
    let mut process = Process::start(name, &binary("standin")?, &args, &log)?;
    let address = process.address().await?;
    Ok((address, process))
}

fn start(
    program: &str,
    folder: &std::path::Path,
    links: Option<&Links>,
    instance: &mut Instance,
) -> Result<()> {
    let log = folder.join(format!("{}.log", instance.name));
    let (name, program) = (&instance.name, binary(program)?);
    let process = Process::start_with(name, &program, &instance.args, &instance.env, &log)?;
    if let (Some(links), Some(id)) = (links, process.id()) {
        links.register(id, &instance.name);
    }
    instance.process = Some(process);
    Ok(())
}

fn flag(name: &str, value: &str) -> [String; 2] {
    [format!("--{name}"), value.to_owned()]
}
