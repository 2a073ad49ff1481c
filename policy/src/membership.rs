//! Membership of entry hosts: who is there, by the hosts' own and each other's word.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    names::{FastMap, FastSet, Name, stable_hash},
    time::Millis,
};

/// How long a suspected host has to refute before it counts as dead.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a dead or departed host is remembered, so that an old row does not revive it.
pub const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(600);

/// What is said of a host. Of two statements on one incarnation the one with the higher
/// `refutation` wins, and at equal refutation the later state in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It answers and takes no new work.
    Leaving,
    /// A peer got no answer from it.
    Suspect,
    /// It refuted no suspicion in time.
    Dead,
    /// It said that it left.
    Left,
}

/// One host of the membership table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the host.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address of the peer port.
    pub address: Name,
    /// Start of the process: milliseconds since the Unix epoch, then a random part.
    pub incarnation: u64,
    /// Counts the host's refutations of suspicions within this incarnation.
    pub refutation: u32,
    /// What is said of it.
    pub state: MemberState,
}

impl Member {
    fn rank(&self) -> (u64, u32, MemberState) {
        (self.incarnation, self.refutation, self.state)
    }
}

/// Bits of an incarnation below its time.
const INCARNATION_RANDOM_BITS: u32 = 16;

/// An incarnation that no restart of the host repeats.
pub fn incarnation(now: Millis, random: u16) -> u64 {
    (now.0 << INCARNATION_RANDOM_BITS) | u64::from(random)
}

/// The membership table of one host.
#[derive(Clone, Debug)]
pub struct MembershipTable {
    local: Member,
    rows: FastMap<Name, (Member, Millis)>,
    listed: FastSet<Name>,
}

impl MembershipTable {
    /// A table that knows only its own host.
    pub fn new(local: Member) -> Self {
        Self {
            local,
            rows: FastMap::default(),
            listed: FastSet::default(),
        }
    }

    /// This host's own row.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Marks this host as leaving.
    pub fn set_local_state(&mut self, state: MemberState) {
        self.local.state = state;
    }

    /// Takes in which hosts the platform's list names.
    pub fn set_listed(&mut self, names: FastSet<Name>) {
        self.listed = names;
    }

    /// Hosts whose word on the configuration counts: those that are there, and those that count
    /// as dead while the platform's list names them.
    pub fn expected_to_apply(&self) -> Vec<Member> {
        let is_expected = |row: &Member| match row.state {
            MemberState::Alive | MemberState::Leaving | MemberState::Suspect => true,
            MemberState::Dead => self.listed.contains(&row.name),
            MemberState::Left => false,
        };
        self.rows().into_iter().filter(is_expected).collect()
    }

    /// Adds a host of the platform's list that is not known yet. Its incarnation is zero:
    /// any word of the host itself goes before the list's.
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

    /// Takes in what a peer says. Returns whether anything was news.
    pub fn merge(&mut self, rows: &[Member], now: Millis) -> bool {
        let mut news = false;
        for row in rows {
            news |= self.merge_row(row, now);
        }
        news
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

    /// Answers a suspicion of this host with a higher refutation.
    fn refute(&mut self, row: &Member) -> bool {
        let doubted = row.state >= MemberState::Suspect && self.local.state < MemberState::Suspect;
        if row.incarnation == self.local.incarnation
            && row.refutation >= self.local.refutation
            && doubted
        {
            self.local.refutation = row.refutation + 1;
            return true;
        }
        false
    }

    /// Notes that `name` did not answer this host.
    pub fn suspect(&mut self, name: &str, now: Millis) {
        if let Some((row, since)) = self.rows.get_mut(name)
            && row.state < MemberState::Suspect
        {
            row.state = MemberState::Suspect;
            *since = now;
        }
    }

    /// Lets suspicions and tombstones run out. Returns the names that died now.
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

    /// All rows, this host's first.
    pub fn rows(&self) -> Vec<Member> {
        let mut rows = vec![self.local.clone()];
        rows.extend(self.rows.values().map(|(row, _)| row.clone()));
        rows
    }

    /// Hash of the table: equal tables need no exchange of rows.
    pub fn table_hash(&self) -> u64 {
        let hash = |row: &Member| {
            let rank = format!("{}.{}.{:?}", row.incarnation, row.refutation, row.state);
            stable_hash(&[&row.name, &rank])
        };
        let others = self.rows.values().map(|(row, _)| hash(row));
        others.fold(hash(&self.local), |sum, hash| sum.wrapping_add(hash))
    }

    /// Hosts other than this one that are not dead.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        self.rows
            .values()
            .map(|(row, _)| row)
            .filter(|row| row.state < MemberState::Dead)
    }

    /// Whether the host of this name is there and takes work.
    pub fn takes_work(&self, name: &str) -> bool {
        self.get(name)
            .is_some_and(|row| row.state == MemberState::Alive)
    }

    /// The known row of `name`.
    pub fn get(&self, name: &str) -> Option<&Member> {
        if *name == *self.local.name {
            return Some(&self.local);
        }
        self.rows.get(name).map(|(row, _)| row)
    }

    /// Names of the hosts in `zone` that take work, this one included.
    pub fn in_zone(&self, zone: &str) -> Vec<Name> {
        self.names_in_zone(zone, &[MemberState::Alive])
    }

    /// The same and those under suspicion, for records that must not be missed while a host sleeps.
    pub fn in_zone_or_suspect(&self, zone: &str) -> Vec<Name> {
        self.names_in_zone(zone, &[MemberState::Alive, MemberState::Suspect])
    }

    fn names_in_zone(&self, zone: &str, states: &[MemberState]) -> Vec<Name> {
        let others = self.rows.values().map(|(row, _)| row);
        let all = others.chain(std::iter::once(&self.local));
        let fitting = all.filter(|row| &*row.zone == zone && states.contains(&row.state));
        let mut names: Vec<Name> = fitting.map(|row| row.name.clone()).collect();
        names.sort();
        names
    }
}
