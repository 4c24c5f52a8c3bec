//! Organisations and their API keys.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// Number of bytes of a key's hash that are stored: enough to rule out accidental
/// collisions.
const KEY_HASH_BYTES: usize = 16;

/// Hash of an API key. Keys are stored and looked up by hash only, so that neither
/// a memory dump nor the timing of a comparison reveals a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyHash([u8; KEY_HASH_BYTES]);

impl KeyHash {
    /// Hashes `key`.
    #[must_use]
    pub fn of(key: &str) -> KeyHash {
        let mut bytes = [0; KEY_HASH_BYTES];
        bytes.copy_from_slice(&blake3::hash(key.as_bytes()).as_bytes()[..KEY_HASH_BYTES]);
        KeyHash(bytes)
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyHash(..)")
    }
}

/// Limit on the calls that an organisation may run on all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Sustained rate, in calls per second.
    pub per_s: f64,
    /// Number of calls that may run at once in excess of the rate.
    pub burst: f64,
}

/// Configuration of an organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationRule {
    /// Name of the organisation.
    pub name: String,
    /// Hashes of the organisation's API keys.
    pub keys: Vec<KeyHash>,
    /// Priority of the organisation's calls; replaces that of their route. 0 is
    /// the highest.
    pub priority: Option<u8>,
    /// Limit on the organisation's calls; `None` if they are not limited.
    pub limit: Option<RateLimit>,
}

/// Index of organisations by name and by API key.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    organisations: HashMap<String, Arc<OrganisationRule>>,
    holders: HashMap<KeyHash, Arc<OrganisationRule>>,
}

impl KeyIndex {
    /// Builds the index of `organisations`.
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

    /// Whether there are no organisations. Calls need no key in that case.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.organisations.is_empty()
    }

    /// Returns the organisation that holds `key`.
    #[must_use]
    pub fn holder(&self, key: &str) -> Option<&Arc<OrganisationRule>> {
        self.holders.get(&KeyHash::of(key))
    }

    /// Returns the organisation with this `name`.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&Arc<OrganisationRule>> {
        self.organisations.get(name)
    }

    /// Whether there is an organisation with this `name`.
    #[must_use]
    pub fn has(&self, name: &str) -> bool {
        self.organisations.contains_key(name)
    }

    /// Returns the organisations that have a rate limit.
    pub fn limited(&self) -> impl Iterator<Item = &OrganisationRule> {
        let all = self.organisations.values();
        all.map(Arc::as_ref).filter(|rule| rule.limit.is_some())
    }

    /// Returns the lowest priority, which is the highest number, of any
    /// organisation; `None` if no organisation has a priority.
    #[must_use]
    pub fn lowest_priority(&self) -> Option<u8> {
        let organisations = self.organisations.values();
        organisations
            .filter_map(|organisation| organisation.priority)
            .max()
    }
}
