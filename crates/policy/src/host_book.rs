//! What is known of the fleet's hosts, put together from the store's table and from
//! what daemons tell, in whatever order it comes.
//!
//! Load pattern: a fleet's first start. Hundreds of daemons tell each other lists
//! that were made at different moments, and rows are written all the while. Were the
//! last list heard the truth, an older one would undo a newer one, and those told
//! further would pass that on. So each row and each list has a place in the store's
//! history, and only later places replace earlier ones.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Removals remembered: those of the seconds for which an older list may be under
/// way.
const MOST_REMOVED: usize = 1_024;
/// Time in which a host that was only heard of gets its row. One that never does is
/// forgotten then.
const ROW_WITHIN: Duration = Duration::from_secs(30);

/// A place in the store's history.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePlace {
    /// How often the store had come back from an older copy: each time its versions
    /// go back.
    pub era: u64,
    /// Its version.
    pub version: u64,
}

/// What became of a host by some word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostChange {
    /// Nothing that was not known.
    None,
    /// It came, or moved.
    Came,
    /// Its row is there, as it was known.
    Listed,
    /// Its row is gone.
    Gone,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct KnownHost<A> {
    address: A,
    /// Where its row was last written; `None` while it was only heard of.
    place: Option<StorePlace>,
    /// When it was first heard of.
    since: Instant,
}

/// The hosts known, by name.
#[derive(Clone, Debug)]
pub struct HostBook<A> {
    hosts: BTreeMap<String, KnownHost<A>>,
    removed: BTreeMap<String, StorePlace>,
    /// The place up to which all rows are known.
    complete: StorePlace,
}

impl<A> Default for HostBook<A> {
    fn default() -> Self {
        HostBook {
            hosts: BTreeMap::new(),
            removed: BTreeMap::new(),
            complete: StorePlace::default(),
        }
    }
}

impl<A: Clone + PartialEq> HostBook<A> {
    /// Number of hosts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether no host is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Where host `id` is.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&A> {
        self.hosts.get(id).map(|host| &host.address)
    }

    /// Where the row of host `id` was last written; `None` when no row is known.
    #[must_use]
    pub fn place_of(&self, id: &str) -> Option<StorePlace> {
        self.hosts.get(id)?.place
    }

    /// The place up to which all rows are known.
    #[must_use]
    pub fn complete(&self) -> StorePlace {
        self.complete
    }

    /// Every host with its name.
    pub fn hosts(&self) -> impl Iterator<Item = (&str, &A)> {
        let hosts = self.hosts.iter();
        hosts.map(|(id, host)| (id.as_str(), &host.address))
    }

    /// Every host that has a row, with its name and the row's place.
    pub fn rows(&self) -> impl Iterator<Item = (&str, &A, StorePlace)> {
        let hosts = self.hosts.iter();
        hosts.filter_map(|(id, host)| Some((id.as_str(), &host.address, host.place?)))
    }

    /// Takes word of a host itself, or of one that heard from it.
    pub fn hear(&mut self, id: &str, address: A, now: Instant) -> HostChange {
        if self.get(id) == Some(&address) {
            return HostChange::None;
        }
        let host = KnownHost {
            address,
            place: None,
            since: now,
        };
        self.hosts.insert(id.to_owned(), host);
        HostChange::Came
    }

    /// Takes word of a row that was written at `place`.
    pub fn take_row(
        &mut self,
        id: &str,
        address: A,
        place: StorePlace,
        now: Instant,
    ) -> HostChange {
        let is_removed = self.removed.get(id).is_some_and(|at| *at >= place);
        let known = self.hosts.get(id);
        let is_known = known.is_some_and(|host| host.place >= Some(place));
        if is_removed || is_known {
            return HostChange::None;
        }
        self.removed.remove(id);
        let is_as_known = known.is_some_and(|host| host.address == address);
        let since = known.map_or(now, |host| host.since);
        let host = KnownHost {
            address,
            place: Some(place),
            since,
        };
        self.hosts.insert(id.to_owned(), host);
        if is_as_known {
            HostChange::Listed
        } else {
            HostChange::Came
        }
    }

    /// Takes word that the row of host `id` was gone at `place`. The host stays
    /// until it is forgotten: it may answer, and write its row again.
    pub fn lose_row(&mut self, id: &str, place: StorePlace) -> HostChange {
        let known = self.hosts.get_mut(id);
        let is_back = known.as_ref().is_some_and(|host| host.place > Some(place));
        let was_removed = self.removed.get(id).is_some_and(|at| *at >= place);
        if is_back || was_removed {
            return HostChange::None;
        }
        let had_row = known.and_then(|host| host.place.take()).is_some();
        if self.removed.len() >= MOST_REMOVED {
            let oldest = self.removed.iter().min_by_key(|(_, at)| **at);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.removed.remove(&id);
            }
        }
        self.removed.insert(id.to_owned(), place);
        if had_row {
            HostChange::Gone
        } else {
            HostChange::None
        }
    }

    /// The hosts whose rows a list that is complete up to `complete` shows to be
    /// gone: those that it lacks and that were written no later.
    pub fn missing_from<'a>(
        &'a self,
        listed: impl Fn(&str) -> bool + 'a,
        complete: StorePlace,
    ) -> impl Iterator<Item = &'a str> {
        let rows = self.rows();
        rows.filter(move |(id, _, place)| *place <= complete && !listed(id))
            .map(|(id, ..)| id)
    }

    /// Notes that all rows up to `place` are known.
    pub fn note_complete(&mut self, place: StorePlace) {
        self.complete = self.complete.max(place);
    }

    /// Forgets host `id`; whether it was known.
    pub fn forget(&mut self, id: &str) -> bool {
        self.hosts.remove(id).is_some()
    }

    /// The hosts that were heard of long ago and never got a row.
    #[must_use]
    pub fn never_listed(&self, now: Instant) -> Vec<String> {
        let hosts = self.hosts.iter();
        hosts
            .filter(|(_, host)| host.place.is_none() && now >= host.since + ROW_WITHIN)
            .map(|(id, _)| id.clone())
            .collect()
    }
}
