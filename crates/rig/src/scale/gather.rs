//! The end of a scale run: all that it has shown is read, and all processes end.

use crate::scale::judge::{Decided, Gathered, RealSidecar, judge};
use crate::scale::proc::Managed;
use crate::scale::protocol::{GatewayCommand, GatewayCounts, HollowCommand};
use crate::scale::report::{LoadFigures, Report};
use crate::scale::run::{ANSWER_MOST, Run, START_MOST, Settled};
use curlewhub_control_plane_node::admin_client::describe_servers;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A process that is told to end ends within this: a request's deadline and what a disk takes.
const END_MOST: Duration = Duration::from_secs(10);

impl Run {
    pub(super) async fn gather(
        self: Rc<Self>,
        zero_us: u64,
        settled: Settled,
        started_s: Option<f64>,
        baseline_us: f64,
    ) -> Result<Report, String> {
        self.read_events();
        let mut problems = self.processes.borrow_mut().ended();
        let servers = describe_servers(&self.direct()).await;
        let system_dropped = self.system_dropped();
        let real = self.gather_real().await;
        let load = self.gather_load().await;
        for n in 0..self.layout.hollow.len() {
            self.tell_hollow(n, &HollowCommand::End);
        }
        self.tell_gateways(&GatewayCommand::End);
        let mut processes = self.processes.take();
        processes.real.iter().for_each(|(_, process)| process.terminate());
        let all = processes.hollow.iter_mut().flatten().chain(&mut processes.gateways);
        for process in all.chain(processes.real.iter_mut().map(|(_, process)| process)) {
            match process.wait(END_MOST).await {
                Some(status) if status.success() => {}
                Some(status) => problems.push(format!("{}: {status}", process.name)),
                None => problems.push(format!("{}: it did not end", process.name)),
            }
        }
        self.read_events();
        let gateway = |process: &Managed| -> Option<GatewayCounts> {
            serde_json::from_str(&std::fs::read_to_string(&process.said).ok()?).ok()
        };
        let gateways = self.layout.zones.iter().zip(&processes.gateways);
        let gateways = gateways.filter_map(|(zone, p)| Some((zone.name.to_owned(), gateway(p)?))).collect();
        let taken = |list: &[Option<Managed>]| -> Vec<Option<(u64, f64)>> {
            list.iter().map(|process| process.as_ref().map(Managed::taken)).collect()
        };
        problems.extend(self.problems.take());
        let (peak_processes, peak_mib) = self.peak.get();
        Ok(judge(Gathered {
            spec: &self.spec,
            layout: &self.layout,
            zero_us,
            settled_us: settled.at_us,
            behind: settled.behind,
            started_s,
            baseline_us,
            events: self.events.take(),
            decided: self.decided_in_all(),
            outages: self.outages.take(),
            problems,
            servers,
            servers_starts: self.layout.servers.iter().map(|s| self.starts.borrow()[&s.name]).collect(),
            servers_taken: taken(&processes.servers),
            hollow_taken: taken(&processes.hollow),
            hollow_starts: self.layout.hollow.iter().map(|h| self.starts.borrow()[&h.name]).collect(),
            real,
            real_taken: processes.real.iter().map(|(_, process)| process.taken()).collect(),
            load,
            gateways,
            system_dropped,
            peak_processes,
            peak_mib,
        }))
    }

    /// What servers have shown and what their logs say of it, each with the earliest time that was told.
    fn decided_in_all(&self) -> BTreeMap<u64, Decided> {
        let mut all = self.decided.take();
        for server in &self.layout.servers {
            let starts = self.starts.borrow().get(&server.name).copied().unwrap_or_default();
            for start in 1..=starts {
                let log = self.folders.run.join("logs").join(format!("{}.{start}.log", server.name));
                for (at_us, version, hash) in versions_of_log(&log, "fleet: decided") {
                    let known = all.entry(version).or_insert(Decided { hash, at_us });
                    known.at_us = known.at_us.min(at_us);
                }
            }
        }
        all
    }

    async fn gather_real(&self) -> Vec<RealSidecar> {
        let named: Vec<(usize, String)> =
            self.processes.borrow().real.iter().map(|(n, process)| (*n, process.name.clone())).collect();
        let mut all = Vec::new();
        for (n, name) in named {
            let figures = operators_figures(self.operators_address(n)).await;
            let log = self.folders.run.join("logs").join(format!("{name}.1.log"));
            let ready_us = self.real_ready.borrow().get(&n).copied();
            let started_us = self.real_started.borrow().get(&n).copied().unwrap_or_default();
            all.push(RealSidecar {
                started_us,
                name,
                ready_us,
                figures,
                acts: versions_of_log(&log, "fleet: acts on"),
            });
        }
        all
    }

    async fn gather_load(&self) -> Option<Result<LoadFigures, String>> {
        let mut load = self.processes.borrow_mut().load.take()?;
        let ended = load.wait(START_MOST).await;
        let read = || -> Result<LoadFigures, String> {
            let text =
                std::fs::read(self.file("load.json")).map_err(|e| format!("load: {ended:?}: {e}"))?;
            let value: serde_json::Value = serde_json::from_slice(&text).map_err(|e| e.to_string())?;
            let number = |name: &str| value[name].as_u64().unwrap_or_default();
            let all = value["classes"].as_array().and_then(|classes| classes.last()).cloned();
            let of_all = |name: &str| all.as_ref().and_then(|all| all[name].as_u64()).unwrap_or_default();
            Ok(LoadFigures {
                tries: number("tries"),
                unanswered: number("unanswered_tries"),
                answered_twice: number("answered_twice"),
                wrong: number("wrong_answers"),
                served: of_all("served"),
                asked: of_all("asked"),
            })
        };
        Some(read())
    }

    /// Datagrams that the system dropped at this run's sockets, of those that are open.
    fn system_dropped(&self) -> u64 {
        let own = self.layout.operator().ip().to_string();
        let octet = own.split('.').nth(1).and_then(|octet| octet.parse::<u8>().ok()).unwrap_or_default();
        let text = std::fs::read_to_string("/proc/net/udp").unwrap_or_default();
        let dropped = |line: &str| -> Option<u64> {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let address = u32::from_str_radix(fields.get(1)?.split(':').next()?, 16).ok()?;
            let [first, second, ..] = address.to_le_bytes();
            (first == 127 && second == octet).then(|| fields.last()?.parse().ok()).flatten()
        };
        text.lines().filter_map(dropped).sum()
    }
}

/// A real sidecar's figures, by name.
async fn operators_figures(at: SocketAddr) -> BTreeMap<String, u64> {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let asked = async {
        let mut stream = tokio::net::TcpStream::connect(at).await?;
        stream.write_all(b"INFO\n").await?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await?;
        std::io::Result::Ok(text)
    };
    let text = match tokio::time::timeout(ANSWER_MOST * 2, asked).await {
        Ok(Ok(text)) => text,
        _ => return BTreeMap::new(),
    };
    let figure = |line: &str| {
        let (name, rest) = line.split_once(':')?;
        Some((name.to_owned(), rest.split('|').next()?.parse().ok()?))
    };
    text.lines().filter_map(figure).collect()
}

/// What a log in JSON says of versions by this message: when, which version, and its hash.
fn versions_of_log(path: &std::path::Path, message: &str) -> Vec<(u64, u64, String)> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let act = |line: &str| {
        let value: serde_json::Value = serde_json::from_str(line).ok()?;
        if value["message"] != message {
            return None;
        }
        let at = humantime::parse_rfc3339(value["timestamp"].as_str()?).ok()?;
        let at_us = at.duration_since(std::time::UNIX_EPOCH).ok()?.as_micros() as u64;
        Some((at_us, value["version"].as_u64()?, value["hash"].as_str()?.to_owned()))
    };
    text.lines().filter_map(act).collect()
}
