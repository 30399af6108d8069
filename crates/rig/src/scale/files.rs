//! The files that a scale run's processes are told by.

use crate::scale::protocol::{GatewaySpec, HollowSpec, PlaneSpec};
use crate::scale::real;
use crate::scale::run::{Run, json, make_folder};
use curlewhub_config::fleet::{FleetConfig, PeerConfig};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::path::PathBuf;

/// Others that each sidecar is told of at its start.
const PEERS: usize = 4;
/// The tier of the first service; the one before is that of the service that real sidecars call.
const FIRST_TIER: u32 = 2;

impl Run {
    pub(super) fn file(&self, name: &str) -> PathBuf {
        self.folders.run.join("files").join(name)
    }

    pub(super) fn write(&self, name: &str, text: &str) -> Result<(), String> {
        let path = self.file(name);
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))
    }

    pub(super) fn write_files(&self) -> Result<(), String> {
        self.write_key()?;
        let (layout, folders) = (&self.layout, &self.folders);
        for server in &layout.servers {
            let text = real::text(&real::of_server(layout, folders, server))?;
            self.write(&format!("{}.toml", server.name), &text)?;
        }
        self.write("operator.toml", &real::text(&self.operator)?)?;
        for service in 0..layout.services {
            self.write(
                &format!("service-{service}.toml"),
                &real::listed_file(&self.spec, layout, service)?,
            )?;
        }
        if self.spec.real > 0 {
            self.write("served.toml", &real::served_file(&self.spec, layout)?)?;
            self.write("mix.toml", &real::mix_file(self.real_rate())?)?;
        }
        let parts = self.fleet_parts();
        self.write_sidecars(&parts)?;
        self.write_gateways()
    }

    fn write_key(&self) -> Result<(), String> {
        let mut draws = Pcg32::seed_from_u64(self.spec.seed ^ 0x6b65_7921);
        let digits: String = (0..32).map(|_| format!("{:02x}", draws.random::<u8>())).collect();
        let path = self.folders.key();
        std::fs::write(&path, digits).map_err(|e| format!("{}: {e}", path.display()))?;
        let only_mine = std::os::unix::fs::PermissionsExt::from_mode(0o600);
        std::fs::set_permissions(&path, only_mine).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Each sidecar's part of the fleet, with a few others drawn for it.
    fn fleet_parts(&self) -> Vec<FleetConfig> {
        let all = &self.layout.sidecars;
        let mut draws = self.draws.borrow_mut();
        let mut peers = |own: usize| -> Vec<PeerConfig> {
            let drawn = rand::seq::index::sample(&mut *draws, all.len(), PEERS + 1);
            let others = drawn.into_iter().filter(|n| *n != own).take(PEERS);
            others.map(|n| PeerConfig { name: all[n].name.clone(), address: all[n].door }).collect()
        };
        let one = |n: usize| real::of_sidecar(&self.layout, &self.folders, &all[n], peers(n));
        (0..all.len()).map(one).collect()
    }

    fn write_sidecars(&self, parts: &[FleetConfig]) -> Result<(), String> {
        let layout = &self.layout;
        let zones: Vec<String> = layout.zones.iter().map(|zone| zone.name.to_owned()).collect();
        for (n, hollow) in layout.hollow.iter().enumerate() {
            let plane = |n: &usize| {
                let called = layout.called(layout.sidecars[*n].service);
                let discovery = layout.discovery(called);
                PlaneSpec { fleet: parts[*n].clone(), discovery, tier: called as u32 + FIRST_TIER }
            };
            let spec = HollowSpec {
                seed: self.spec.seed.wrapping_mul(7919).wrapping_add(n as u64),
                calls_per_s: self.spec.calls_per_s,
                events: PathBuf::new(), // of each start its own
                zones: zones.clone(),
                planes: hollow.sidecars.iter().map(plane).collect(),
            };
            self.write(&format!("{}.json", hollow.name), &json(&spec)?)?;
        }
        let real = layout.sidecars.iter().enumerate().filter(|(_, sidecar)| sidecar.real);
        for (number, (n, sidecar)) in real.enumerate() {
            make_folder(&parts[n].state_dir)?;
            let text = real::sidecar_file(&self.spec, layout, &parts[n], sidecar, number)?;
            self.write(&format!("{}.toml", sidecar.name), &text)?;
        }
        Ok(())
    }

    fn write_gateways(&self) -> Result<(), String> {
        for (zone, named) in self.layout.zones.iter().enumerate() {
            let spec = GatewaySpec {
                zone: named.name.to_owned(),
                seed: self.spec.seed.wrapping_add(zone as u64),
                doors: self.layout.doors(zone),
                addresses: self.layout.addresses(),
            };
            self.write(&format!("gateway-{}.json", named.name), &json(&spec)?)?;
        }
        Ok(())
    }
}
