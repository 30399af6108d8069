//! The answers about the state of a server, of its members and of the zones.

use super::Process;
use crate::admin_client::{MemberEntry, MemberList, RecordSummary, ServerStatus, ZoneList, ZoneStatus};
use curlewhub_control_plane::membership::MemberStatus;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl Process<'_> {
    pub(super) fn zone_list(&self) -> ZoneList {
        let now = self.started.elapsed();
        let state_machine = self.server.controller.state_machine();
        let zones = self.zone_names().into_iter().map(|name| self.zone_status(now, name)).collect();
        ZoneList {
            by: self.server.consensus.local_member().name.clone(),
            is_leader: self.server.consensus.replica.is_leader(),
            version: self.server.consensus.replica.view().version().0,
            zones,
            cut_pairs: state_machine.zone_states().cut_pairs.clone(),
            min_remaining_capacity: state_machine.settings().min_remaining_capacity,
        }
    }

    /// All zones that evidence, decided states, the configured regions or members name.
    fn zone_names(&self) -> BTreeSet<&str> {
        let state_machine = self.server.controller.state_machine();
        let observed = state_machine.signals.zones();
        let decided = state_machine.zone_states().zones.keys().map(String::as_str);
        let configured = state_machine.settings().regions.values().flatten().map(String::as_str);
        let members = self.server.consensus.membership().alive().map(|member| &member.zone[..]);
        let names = observed.chain(decided).chain(configured).chain(members);
        names.filter(|name| !name.is_empty()).collect()
    }

    fn zone_status(&self, now: Duration, name: &str) -> ZoneStatus {
        let controller = &self.server.controller;
        let state_machine = controller.state_machine();
        let statistics = state_machine.signals.statistics(now, name);
        let witnesses = state_machine.signals.witnesses(now, name, None);
        let decided = state_machine.zone_states().zones.get(name);
        ZoneStatus {
            name: name.to_owned(),
            region: state_machine.region(name).unwrap_or_default().to_owned(),
            state: state_machine.zone_states().state(name),
            why: decided.map_or(String::new(), |zone| zone.why.clone()),
            overridden: decided.is_some_and(|zone| zone.overridden),
            calls_per_s: statistics.calls_per_s,
            latency_ratio: statistics.latency_ratio,
            lost_share: statistics.lost_share,
            baseline_per_s: decided.map_or(statistics.baseline_per_s, |zone| zone.baseline.calls_per_s),
            peak_per_s: statistics.peak_per_s,
            granted_per_s: controller.grants().granted_rate(now, name),
            witnesses: witnesses.all,
            losing: witnesses.losing,
        }
    }

    pub(super) fn member_list(&self) -> MemberList {
        let membership = self.server.consensus.membership();
        let own = (membership.local_member(), MemberStatus::Alive);
        let mut members: Vec<MemberEntry> = membership
            .all()
            .chain([own])
            .map(|(member, status)| MemberEntry { member: member.clone(), status })
            .collect();
        members.sort_by(|a, b| a.member.name.cmp(&b.member.name));
        MemberList { by: membership.local_member().name.clone(), members }
    }

    pub(super) fn server_status(&self) -> ServerStatus {
        let consensus = &self.server.consensus;
        let (replica, own) = (&consensus.replica, consensus.local_member());
        let traffic = &self.transport.traffic;
        let mut voters = replica.voters().to_vec();
        voters.sort_unstable();
        ServerStatus {
            name: own.name.clone(),
            incarnation: own.incarnation,
            is_leader: replica.is_leader(),
            leader: consensus.server_name(replica.leader_id()).map(str::to_owned),
            term: replica.term(),
            voters,
            version: replica.view().version().0,
            hash: format!("{:?}", replica.view().hash()),
            records: replica.view().records().map(RecordSummary::of).collect(),
            sidecars: replica.evidence().sidecar_count(),
            members: consensus.membership().alive_count() + 1,
            sent_bytes: traffic.bytes_sent.get(),
            received_bytes: traffic.bytes_received.get(),
            fenced_messages: consensus.fenced_messages,
            rejected_packets: by_text(&consensus.rejected_packets),
            deferred_fetches: replica.deferred_fetches,
            malformed_messages: replica.malformed_messages,
            rejected_digests: self.rejected_reports(),
            dropped: by_text(&self.transport.dropped.counts()),
            lost: traffic.losses(),
            traffic: traffic.by_kind(),
        }
    }

    /// Digests and configuration reports of sidecars that were rejected, by reason.
    fn rejected_reports(&self) -> BTreeMap<String, u64> {
        let mut rejected = by_text(&self.server.consensus.replica.rejected_digests);
        let reports = self.rollouts.rejected_reports.iter();
        rejected.extend(reports.map(|(why, count)| (format!("configuration: {why}"), *count)));
        rejected
    }
}

/// Counters by the text of their reason, which is their key in JSON.
fn by_text<K: std::fmt::Display>(counters: &BTreeMap<K, u64>) -> BTreeMap<String, u64> {
    counters.iter().map(|(why, count)| (why.to_string(), *count)).collect()
}
