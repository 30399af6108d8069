//! What a run tells its processes: all files, written before any process starts, with the names in braces looked up.

use crate::moves::view_port;
use crate::plan::{Member, Role, Side};
use crate::run::Rig;
use crate::spec::Transport;
use crate::texts::{self, Seen, Standing, fill, lay_over};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Peers that `{peers.GROUP.PORT}` names.
const PEERS_MOST: usize = 4;

impl Rig {
    pub(crate) fn file(&self, member: usize) -> PathBuf {
        self.folder.join("files").join(format!("{}.toml", self.plan.members[member].name))
    }

    pub(crate) fn books(&self, name: &str) -> PathBuf {
        self.folder.join("books").join(format!("{name}.jsonl"))
    }

    /// A key that all of this run share, for processes that want one.
    pub(crate) fn write_key(&self) -> Result<(), String> {
        let mut draws = Pcg32::seed_from_u64(self.plan.spec.seed);
        let key: String = (0..32).map(|_| format!("{:02x}", draws.random::<u8>())).collect();
        let path = self.folder.join("shared/fleet.key");
        std::fs::write(&path, key).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// All files of all processes, checked before any is started.
    pub(crate) fn write_files(&self) -> Result<(), String> {
        self.make_relays_of_moves().map_err(|error| error.to_string())?;
        for (n, member) in self.plan.members.iter().enumerate() {
            if let Some(text) = self.text(n, member, false, &toml::Table::new())? {
                std::fs::write(self.file(n), text).map_err(|e| format!("{}: {e}", member.name))?;
            }
        }
        let mix = texts::mix(&self.plan.spec.classes, &self.plan.spec.load)?;
        std::fs::write(self.folder.join("files/mix.toml"), mix).map_err(|e| format!("mix: {e}"))
    }

    /// The text of a member's file, where it has one; `set` is laid over a sidecar's.
    pub(crate) fn text(
        &self,
        n: usize,
        member: &Member,
        cold: bool,
        set: &toml::Table,
    ) -> Result<Option<String>, String> {
        let standing = || Standing { discovery: self.at(n, "discovery"), control: self.at(n, "control") };
        match member.role {
            Role::Endpoint => Ok(None),
            Role::Sidecar => self.sidecar_text(n, member, set).map(Some),
            Role::Other => {
                let text = &self.plan.spec.processes[member.group].config;
                fill(text, |name| self.look(n, name)).map(Some)
            }
            Role::Standins => {
                let here = self.plan.of(Role::Endpoint).filter(|(_, e)| e.side.hall == member.side.hall);
                let here: Vec<_> = here.map(|(e, endpoint)| (endpoint, self.at(e, "serve"))).collect();
                texts::standins(&self.plan, &standing(), &here, None, &[], cold).map(Some)
            }
            Role::Discovery => {
                let all = self.plan.of(Role::Endpoint);
                let all: Vec<_> = all.map(|(e, endpoint)| (endpoint, self.at(e, "serve"))).collect();
                let (mut views, mut listens) = (Vec::new(), Vec::new());
                for (v, site) in self.views.iter().enumerate() {
                    let moves = 0..=self.plan.spec.discovery.moves;
                    listens.push(moves.map(|m| self.at(n, &view_port(v, m))).collect::<Vec<_>>());
                    views.push(
                        self.seen(site)?.into_iter().map(|seen| (seen.id.to_owned(), seen.at)).collect(),
                    );
                }
                texts::standins(&self.plan, &standing(), &all, Some(views), &listens, cold).map(Some)
            }
        }
    }

    /// The endpoints as a site sees them.
    fn seen(&self, site: &Side) -> Result<Vec<Seen<'_>>, String> {
        let seen = |(n, endpoint): (usize, &'_ Member)| {
            let at = self.wire(site, n, "serve")?;
            Ok((n, at, endpoint.name.len()))
        };
        let all: Result<Vec<_>, String> = self.plan.of(Role::Endpoint).map(seen).collect();
        let seen = |(n, at, _): (usize, SocketAddr, usize)| {
            let member = &self.plan.members[n];
            Seen { id: &member.name, hall: member.side.hall.as_deref().unwrap_or_default(), at }
        };
        Ok(all?.into_iter().map(seen).collect())
    }

    fn sidecar_text(&self, n: usize, member: &Member, set: &toml::Table) -> Result<String, String> {
        let site = member.site(&self.plan.spec);
        let discovery = self.wire(&site, self.discovery(), &self.discovery_port(n))?;
        let addresses = (self.at(n, "listen"), self.at(n, "operator"), discovery);
        let state = &self.process(n).state;
        let mut table = texts::sidecar(&self.plan, member, addresses, state, &self.seen(&site)?)?;
        lay_over(&mut table, &self.plan.spec.sidecars[member.group].config);
        lay_over(&mut table, set);
        let text = toml::to_string(&table).map_err(|e| format!("{}: {e}", member.name))?;
        let text = unquoted(text);
        let text = fill(&text, |name| self.look(n, name))?;
        curlewhub_config::file::parse(&member.name, &text, &[]).map_err(|problems| problems.to_string())?;
        Ok(text)
    }

    /// What a name in braces stands for.
    pub(crate) fn look(&self, n: usize, name: &str) -> Result<String, String> {
        let member = &self.plan.members[n];
        let side = &member.side;
        let none = || format!("{}: `{{{name}}}` stands for nothing", member.name);
        Ok(match name {
            "name" => member.name.clone(),
            "hall" => side.hall.clone().unwrap_or_default(),
            "region" => side.region.clone().unwrap_or_default(),
            "number" => member.number.to_string(),
            "state" => self.process(n).state.display().to_string(),
            "config" => self.file(n).display().to_string(),
            "shared" => self.folder.join("shared").display().to_string(),
            _ => match name.split_once('.') {
                Some(("port", port)) if self.ports[n].contains_key(port) => self.at(n, port).to_string(),
                // Where all others reach it.
                Some(("door", port)) => match self.ports[n].get(port) {
                    Some((Transport::Both, _)) => {
                        self.wire(&member.site(&self.plan.spec), n, port)?.to_string()
                    }
                    _ => return Err(format!("{}: `{{{name}}}` needs a port of `both`", member.name)),
                },
                Some((how @ ("link" | "reach"), rest)) => {
                    let (to, port) = rest.rsplit_once('.').ok_or_else(none)?;
                    let to = self.plan.members.iter().position(|m| m.name == to).ok_or_else(none)?;
                    match to == n {
                        // What is listed for all alike names a process's own port to itself.
                        true if how == "reach" => self.at(n, port).to_string(),
                        true => {
                            return Err(format!(
                                "{}: `{{{name}}}` would be a relay to itself",
                                member.name
                            ));
                        }
                        false => self.wire(&member.site(&self.plan.spec), to, port)?.to_string(),
                    }
                }
                Some(("peers", rest)) => {
                    let (group, port) = rest.rsplit_once('.').ok_or_else(none)?;
                    self.some_peers(n, group, port)?
                }
                _ => return Err(none()),
            },
        })
    }

    /// A few others of a group as a list of tables: as many as a process speaks to, whatever the group's size.
    fn some_peers(&self, n: usize, group: &str, port: &str) -> Result<String, String> {
        let members = &self.plan.members;
        let others: Vec<usize> =
            (0..members.len()).filter(|o| *o != n && members[*o].side.group == group).collect();
        let mut draws = Pcg32::seed_from_u64(self.plan.spec.seed.wrapping_add(n as u64));
        let chosen = others.choose_multiple(&mut draws, PEERS_MOST);
        let one = |other: &usize| {
            let at = self.wire(&members[n].site(&self.plan.spec), *other, port)?;
            Ok(format!("{{ name = \"{}\", address = \"{at}\" }}", members[*other].name))
        };
        Ok(chosen.map(one).collect::<Result<Vec<String>, String>>()?.join(", "))
    }
}

/// A list of peers stands as a text in a table, since it is none yet.
fn unquoted(text: String) -> String {
    const OPENS: &str = "\"{peers.";
    match text.split_once(OPENS).and_then(|(before, after)| Some((before, after.split_once("}\"")?))) {
        Some((before, (name, after))) => format!("{before}[{{peers.{name}}}]{after}"),
        None => text,
    }
}
