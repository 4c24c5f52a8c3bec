//! Organisations and the keys that they hold.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// Bytes kept of a key's hash: enough that two keys never share one by chance.
const BYTES: usize = 16;

/// A key as it is kept and looked up: hashed, so that neither a dump of memory
/// nor the time of a comparison tells of the key itself.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash([u8; BYTES]);

impl KeyHash {
    /// The hash of `key`.
    #[must_use]
    pub fn of(key: &str) -> KeyHash {
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&blake3::hash(key.as_bytes()).as_bytes()[..BYTES]);
        KeyHash(bytes)
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyHash(..)")
    }
}

/// What an organisation may run, on all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Calls a second.
    pub per_s: f64,
    /// Calls at once beyond that.
    pub burst: f64,
}

/// One organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationRule {
    /// Its name.
    pub name: String,
    /// The keys that it holds.
    pub keys: Vec<KeyHash>,
    /// Rank of its calls, in place of their route's; 0 goes first.
    pub priority: Option<u8>,
    /// What it may run; `None` when that is not limited.
    pub limit: Option<RateLimit>,
}

/// Organisations by the keys that they hold.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    organisations: HashMap<String, Arc<OrganisationRule>>,
    holders: HashMap<KeyHash, Arc<OrganisationRule>>,
}

impl KeyIndex {
    /// Compiles `organisations`.
    #[must_use]
    pub fn compile(organisations: Vec<Arc<OrganisationRule>>) -> KeyIndex {
        let mut index = KeyIndex::default();
        for organisation in organisations {
            for key in &organisation.keys {
                index.holders.insert(*key, Arc::clone(&organisation));
            }
            index
                .organisations
                .insert(organisation.name.clone(), organisation);
        }
        index
    }

    /// Whether calls need no key, as there is nobody to hold one.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.organisations.is_empty()
    }

    /// The organisation that holds `key`.
    #[must_use]
    pub fn holder(&self, key: &str) -> Option<&Arc<OrganisationRule>> {
        self.holders.get(&KeyHash::of(key))
    }

    /// The organisation called `name`.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&Arc<OrganisationRule>> {
        self.organisations.get(name)
    }

    /// Whether there is an organisation called `name`.
    #[must_use]
    pub fn has(&self, name: &str) -> bool {
        self.organisations.contains_key(name)
    }

    /// The organisations whose calls are counted.
    pub fn limited(&self) -> impl Iterator<Item = &OrganisationRule> {
        let all = self.organisations.values();
        all.map(Arc::as_ref).filter(|rule| rule.limit.is_some())
    }

    /// The least urgent rank of any organisation; `None` where none has one.
    #[must_use]
    pub fn lowest_priority(&self) -> Option<u8> {
        let ranks = self.organisations.values();
        ranks.filter_map(|organisation| organisation.priority).max()
    }
}
