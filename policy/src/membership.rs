//! Gossip-based membership of the entry hosts, with suspicion and refutation as in SWIM.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    names::{FastMap, FastSet, Name, stable_hash},
    time::Millis,
};

/// How long a suspected host has to refute the suspicion before it is declared dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a dead or departed host is remembered, so that a stale row does not revive it.
pub const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(600);

/// State of a host.
///
/// Of two rows for one incarnation, the one with the higher `refutation` wins; if these are equal,
/// the later state in this order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers its peers.
    Alive,
    /// It answers its peers but accepts no new work.
    Leaving,
    /// A peer got no answer from it.
    Suspect,
    /// It did not refute a suspicion within [`SUSPICION_TIMEOUT`].
    Dead,
    /// It announced that it left.
    Left,
}

/// Row of the membership table for one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the host.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address for traffic between hosts.
    pub address: Name,
    /// Start of the host's process; see [`incarnation`].
    pub incarnation: u64,
    /// Number of suspicions that the host has refuted within this incarnation.
    pub refutation: u32,
    /// Latest known state.
    pub state: MemberState,
}

impl Member {
    fn rank(&self) -> (u64, u32, MemberState) {
        (self.incarnation, self.refutation, self.state)
    }
}

/// Number of random low-order bits of an incarnation.
const INCARNATION_RANDOM_BITS: u32 = 16;

/// Returns an incarnation from the process start time in the high-order bits and a random number,
/// so that restarts of a host do not share one.
pub fn incarnation(now: Millis, random: u16) -> u64 {
    (now.0 << INCARNATION_RANDOM_BITS) | u64::from(random)
}

/// Membership table as known to one host.
#[derive(Clone, Debug)]
pub struct MembershipTable {
    local: Member,
    rows: FastMap<Name, (Member, Millis)>,
    listed: FastSet<Name>,
}

impl MembershipTable {
    /// Creates a table with only the local host.
    pub fn new(local: Member) -> Self {
        Self {
            local,
            rows: FastMap::default(),
            listed: FastSet::default(),
        }
    }

    /// Returns the local host's row.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Sets the local host's state, to announce that it is leaving or has left.
    pub fn set_local_state(&mut self, state: MemberState) {
        self.local.state = state;
    }

    /// Replaces the names of the hosts on the platform's list.
    pub fn set_listed(&mut self, names: FastSet<Name>) {
        self.listed = names;
    }

    /// Returns the hosts that are expected to apply the configuration: all that are neither dead
    /// nor departed, and the dead ones that are still on the platform's list.
    pub fn expected_to_apply(&self) -> Vec<Member> {
        let is_expected = |row: &Member| match row.state {
            MemberState::Alive | MemberState::Leaving | MemberState::Suspect => true,
            MemberState::Dead => self.listed.contains(&row.name),
            MemberState::Left => false,
        };
        self.rows().into_iter().filter(is_expected).collect()
    }

    /// Adds a host of the platform's list, unless it is known. The row has incarnation zero, so
    /// that any row from the host itself replaces it.
    pub fn add_listed(&mut self, name: &Name, zone: &Name, address: &Name, now: Millis) {
        let known = self
            .rows
            .get(name)
            .is_some_and(|(row, _)| row.address == *address);
        if *name == self.local.name || known {
            return;
        }
        let row = Member {
            name: name.clone(),
            zone: zone.clone(),
            address: address.clone(),
            incarnation: 0,
            refutation: 0,
            state: MemberState::Alive,
        };
        self.rows.entry(name.clone()).or_insert((row, now));
    }

    /// Merges a peer's rows and returns whether anything changed.
    pub fn merge(&mut self, rows: &[Member], now: Millis) -> bool {
        let mut changed = false;
        for row in rows {
            changed |= self.merge_row(row, now);
        }
        changed
    }

    fn merge_row(&mut self, row: &Member, now: Millis) -> bool {
        if row.name == self.local.name {
            return self.refute(row);
        }
        match self.rows.get(&row.name) {
            Some((known, _)) if known.rank() >= row.rank() => false,
            None if row.state >= MemberState::Dead => false,
            _ => {
                self.rows.insert(row.name.clone(), (row.clone(), now));
                true
            }
        }
    }

    /// Refutes a suspicion of the local host; returns whether there was one.
    fn refute(&mut self, row: &Member) -> bool {
        let is_suspected =
            row.state >= MemberState::Suspect && self.local.state < MemberState::Suspect;
        if row.incarnation == self.local.incarnation
            && row.refutation >= self.local.refutation
            && is_suspected
        {
            self.local.refutation = row.refutation.saturating_add(1);
            return true;
        }
        false
    }

    /// Marks the host `name` as suspect because it did not answer.
    pub fn suspect(&mut self, name: &str, now: Millis) {
        if let Some((row, since)) = self.rows.get_mut(name)
            && row.state < MemberState::Suspect
        {
            row.state = MemberState::Suspect;
            *since = now;
        }
    }

    /// Declares hosts dead whose suspicion timed out, and returns their names. Also removes expired
    /// tombstones.
    pub fn expire(&mut self, now: Millis) -> Vec<Name> {
        let mut died = Vec::new();
        for (name, (row, since)) in &mut self.rows {
            if row.state == MemberState::Suspect && now.since(*since) > SUSPICION_TIMEOUT {
                row.state = MemberState::Dead;
                *since = now;
                died.push(name.clone());
            }
        }
        self.rows.retain(|_, (row, since)| {
            row.state < MemberState::Dead || now.since(*since) <= TOMBSTONE_LIFETIME
        });
        died
    }

    /// Returns all rows, beginning with the local host's.
    pub fn rows(&self) -> Vec<Member> {
        let mut rows = vec![self.local.clone()];
        rows.extend(self.rows.values().map(|(row, _)| row.clone()));
        rows
    }

    /// Returns a hash of the rows; peers with equal hashes need not exchange rows.
    pub fn table_hash(&self) -> u64 {
        let hash = |row: &Member| {
            let rank = format!("{}.{}.{:?}", row.incarnation, row.refutation, row.state);
            stable_hash(&[&row.name, &rank])
        };
        let others = self.rows.values().map(|(row, _)| hash(row));
        others.fold(hash(&self.local), |sum, hash| sum.wrapping_add(hash))
    }

    /// Iterates over the other hosts that are neither dead nor departed.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.rows
            .values()
            .map(|(row, _)| row)
            .filter(|row| row.state < MemberState::Dead)
    }

    /// Returns whether the host `name` is alive and accepts work.
    pub fn takes_work(&self, name: &str) -> bool {
        self.get(name)
            .is_some_and(|row| row.state == MemberState::Alive)
    }

    /// Returns the row of the host `name`.
    pub fn get(&self, name: &str) -> Option<&Member> {
        if *name == *self.local.name {
            return Some(&self.local);
        }
        self.rows.get(name).map(|(row, _)| row)
    }

    /// Returns the sorted names of the hosts in `zone` that accept work, including the local host.
    pub fn in_zone(&self, zone: &str) -> Vec<Name> {
        self.names_in_zone(zone, &[MemberState::Alive])
    }

    /// Like [`Self::in_zone`], but including suspected hosts, so that records are not missed while
    /// the host that owns them is briefly paused.
    pub fn in_zone_or_suspect(&self, zone: &str) -> Vec<Name> {
        self.names_in_zone(zone, &[MemberState::Alive, MemberState::Suspect])
    }

    fn names_in_zone(&self, zone: &str, states: &[MemberState]) -> Vec<Name> {
        let others = self.rows.values().map(|(row, _)| row);
        let all = others.chain(std::iter::once(&self.local));
        let matching = all.filter(|row| &*row.zone == zone && states.contains(&row.state));
        let mut names: Vec<Name> = matching.map(|row| row.name.clone()).collect();
        names.sort();
        names
    }
}
