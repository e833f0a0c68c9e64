//! Starts the processes of a script with their plans and settings files.

use super::{RouterProcessRun, Runner};
use crate::counters::now_us;
use crate::error::{FleetTestError, IoContext};
use crate::link::{LinkFault, LinkFaultKind, LinkPlan};
use crate::process::Process;
use crate::script::{Group, GroupKind, RegistryCapacity, RegistryFault, RouterGroup, TimedFault};
use serde_json::{json, Value};
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// A loopback address whose port the kernel selects.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// An address where nothing listens.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
/// The number of revisions that a restored backup lacks.
const RESTORED_CHANGES: u64 = 5;
/// Listed workers without a process are distributed over this many ports, from 1, and cells.
const ENTRY_PORTS: usize = 1_000;
const ENTRY_CELLS: usize = 12;

impl Runner<'_> {
    /// Starts a process that is not a router and waits until it is ready. Without an address the kernel
    /// selects the port.
    pub(super) fn start_service(
        &self,
        group: &Group,
        name: &str,
        address: Option<SocketAddr>,
    ) -> Result<Process, FleetTestError> {
        let listen = address.unwrap_or(ANY_PORT);
        let listen_text = listen.to_string();
        let arguments = match &group.kind {
            GroupKind::Registry { entries, capacity, faults } => {
                let plan = self.registry_plan(&listen_text, *entries, *capacity, faults);
                vec!["kv".to_string(), "--plan".into(), plan.to_string()]
            }
            GroupKind::Link { to, faults } => {
                let plan = serde_json::to_string(&self.link_plan(name, listen, to, faults));
                vec!["link".into(), "--plan".into(), plan.map_err(io::Error::other).context("link plan")?]
            }
            GroupKind::Relays { service } => self.registered_arguments("relay", name, listen_text, service),
            GroupKind::Workers { service } => self.registered_arguments("worker", name, listen_text, service),
            GroupKind::Routers(_) => return Err(FleetTestError::NotAService(name.into())),
        };
        let log = format!("{name}.log");
        let file = File::create(self.directory.join(&log)).context(&log)?;
        let mut command = Command::new(&self.options.program);
        command.args(arguments).stderr(Stdio::from(file));
        Process::start(command).context(name)
    }

    /// The arguments of a relay or worker, which registers itself with a registry through a service.
    fn registered_arguments(&self, command: &str, name: &str, listen: String, service: &str) -> Vec<String> {
        let registry = self.addresses.get(service).map_or_else(String::new, SocketAddr::to_string);
        let options =
            ["--name".to_string(), name.into(), "--listen".into(), listen, "--registry".into(), registry];
        [command.to_string()].into_iter().chain(options).collect()
    }

    fn registry_plan(
        &self,
        listen: &str,
        entries: usize,
        capacity: Option<RegistryCapacity>,
        faults: &[TimedFault<RegistryFault>],
    ) -> Value {
        let keys: Vec<(String, String)> = (0..entries).map(registry_entry).collect();
        let faults = faults.iter().map(|fault| {
            let (from_us, to_us) = self.fault_period(fault);
            json!({"from_us": from_us, "to_us": to_us, "kind": registry_fault_plan(fault.kind)})
        });
        json!({
            "listen": listen,
            "keys": keys,
            "faults": faults.collect::<Vec<_>>(),
            "capacity": capacity,
        })
    }

    fn link_plan(
        &self,
        name: &str,
        listen: SocketAddr,
        to: &str,
        faults: &[TimedFault<LinkFaultKind>],
    ) -> LinkPlan {
        let faults = faults.iter().map(|fault| {
            let (from_us, to_us) = self.fault_period(fault);
            LinkFault { from_us, to_us, kind: fault.kind.clone() }
        });
        LinkPlan {
            listen,
            to: self.addresses.get(to).copied().unwrap_or(UNUSED_ADDRESS),
            faults: faults.collect(),
            counters: Some(self.counters_file(name)),
            seed: self.seed,
        }
    }

    /// Start and end of a fault, in microseconds of the Unix clock.
    fn fault_period<Kind>(&self, fault: &TimedFault<Kind>) -> (i64, i64) {
        (self.clock_us(fault.at_s), self.clock_us(fault.at_s + fault.duration_s))
    }

    pub(super) fn counters_file(&self, link: &str) -> PathBuf {
        self.directory.join(format!("{link}.tally"))
    }

    /// Starts a router without waiting until it is ready, because all routers of a group start at the same
    /// time.
    pub(super) fn start_router(&mut self, name: &str) -> Result<(), FleetTestError> {
        let Some(managed) = self.processes.get(name) else { return Ok(()) };
        let GroupKind::Routers(group) = &self.script.groups[managed.group].kind else { return Ok(()) };
        let settings = self.directory.join(format!("{name}.scm"));
        fs::write(&settings, self.router_settings(name, group)).context("router settings file")?;
        let log = self.directory.join(format!("{name}.{}.log", managed.runs.len()));
        let stderr = File::create(&log).context("router log file")?;
        let mut command = Command::new(&self.options.router_program);
        command.args(["--log-format", "json", "run"]).arg(&settings).stderr(Stdio::from(stderr));
        let process = Process::spawn(command).context(name)?;
        if let Some(managed) = self.processes.get_mut(name) {
            managed.runs.push(RouterProcessRun { started_us: now_us(), ended_us: None, log });
            managed.process = Some(process);
        }
        Ok(())
    }

    /// The settings file of a router.
    fn router_settings(&self, name: &str, group: &RouterGroup) -> String {
        let RouterGroup { services, relays, settings, members, stated_routers, .. } = group;
        let registry = self.quoted_addresses(services);
        let relays = match relays.as_slice() {
            [] => String::new(),
            relays => format!("(relays {})", self.quoted_addresses(relays)),
        };
        let stored_list = match group.stores_list {
            true => format!("(remember {:?})", self.directory.join(format!("{name}.list"))),
            false => String::new(),
        };
        format!(
            "(gateway (name \"{name}\") (routers {stated_routers}))\n(mqtt (listen \"127.0.0.1:0\"))\n\
             {settings}\n(members (registry {registry}) {relays} {stored_list} {members})\n"
        )
    }

    /// The addresses of all processes of the named groups, quoted and separated by spaces. The process of a
    /// single group has the group's name; others add `-` and an index.
    fn quoted_addresses(&self, groups: &[String]) -> String {
        let is_process_of = |process: &str, group: &str| {
            process.strip_prefix(group).is_some_and(|suffix| suffix.is_empty() || suffix.starts_with('-'))
        };
        let addresses = groups.iter().flat_map(|group| {
            let processes = self.addresses.iter().filter(move |(name, _)| is_process_of(name, group));
            processes.map(|(_, address)| format!("\"{address}\""))
        });
        addresses.collect::<Vec<_>>().join(" ")
    }
}

/// Registry key and record of a listed worker without a process.
fn registry_entry(index: usize) -> (String, String) {
    let address = format!("127.0.0.1:{}", 1 + index % ENTRY_PORTS);
    let record = json!({"address": address, "cell": index % ENTRY_CELLS});
    (format!("/slatevalve/workers/w-{index}"), record.to_string())
}

fn registry_fault_plan(fault: RegistryFault) -> Value {
    match fault {
        RegistryFault::Break => json!("break"),
        RegistryFault::Stall => json!("stall"),
        RegistryFault::Lose => json!("lose"),
        RegistryFault::Compact => json!("compact"),
        RegistryFault::Restore => json!({"restore": RESTORED_CHANGES}),
    }
}
