//! When a changed key of the settings file takes effect.

use super::{ListenSettings, MeshSettings};

/// When a changed key takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyEffect {
    /// At once.
    AtOnce,
    /// When the value is needed next: the next stop, start or lease.
    NextUse,
    /// After a restart of the daemon; the old value stays in force until then.
    Restart,
}

/// A key whose value differs between two settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangedKey {
    /// The key with its table, such as `retry.ratio`.
    pub key: &'static str,
    /// When the new value takes effect.
    pub effect: KeyEffect,
}

/// Returns the keys whose values differ between `old` and `new`.
///
/// The patterns name each field, so that a new key cannot be left without a decision.
#[must_use]
pub fn changed_keys(old: &MeshSettings, new: &MeshSettings) -> Vec<ChangedKey> {
    let MeshSettings {
        id,
        zone,
        service,
        target,
        store,
        first_start,
        zones,
        listen,
        times,
        retry,
        rollout,
        quota,
        withdrawal,
        crossing,
        link,
    } = new;
    let mut keys = vec![
        ("id", *id != old.id, KeyEffect::Restart),
        ("zone", *zone != old.zone, KeyEffect::Restart),
        ("service", *service != old.service, KeyEffect::AtOnce),
        ("target", *target != old.target, KeyEffect::AtOnce),
        ("store", *store != old.store, KeyEffect::AtOnce),
        (
            "first_start",
            *first_start != old.first_start,
            KeyEffect::NextUse,
        ),
        ("zones", *zones != old.zones, KeyEffect::NextUse),
        ("times", *times != old.times, KeyEffect::AtOnce),
        ("retry", *retry != old.retry, KeyEffect::AtOnce),
        ("rollout", *rollout != old.rollout, KeyEffect::NextUse),
        ("quota", *quota != old.quota, KeyEffect::Restart),
        (
            "withdrawal",
            *withdrawal != old.withdrawal,
            KeyEffect::AtOnce,
        ),
        ("crossing", *crossing != old.crossing, KeyEffect::AtOnce),
        ("link", *link != old.link, KeyEffect::AtOnce),
    ];
    keys.extend(listen_keys(&old.listen, listen));
    keys.into_iter()
        .filter(|(_, is_changed, _)| *is_changed)
        .map(|(key, _, effect)| ChangedKey { key, effect })
        .collect()
}

/// The keys of `listen`, whether their values differ, and when they take effect.
fn listen_keys(old: &ListenSettings, new: &ListenSettings) -> [(&'static str, bool, KeyEffect); 6] {
    let ListenSettings {
        calls,
        peers,
        advertised,
        ready,
        control,
        metrics,
    } = new;
    [
        ("listen.calls", *calls != old.calls, KeyEffect::Restart),
        ("listen.peers", *peers != old.peers, KeyEffect::Restart),
        (
            "listen.advertised",
            *advertised != old.advertised,
            KeyEffect::AtOnce,
        ),
        ("listen.ready", *ready != old.ready, KeyEffect::Restart),
        (
            "listen.control",
            *control != old.control,
            KeyEffect::Restart,
        ),
        (
            "listen.metrics",
            *metrics != old.metrics,
            KeyEffect::Restart,
        ),
    ]
}

/// Returns `new` with the values of `old` for the keys that take a restart.
#[must_use]
pub fn without_restart_keys(old: &MeshSettings, new: MeshSettings) -> MeshSettings {
    MeshSettings {
        id: old.id.clone(),
        zone: old.zone.clone(),
        quota: old.quota,
        listen: ListenSettings {
            advertised: new.listen.advertised,
            ..old.listen.clone()
        },
        ..new
    }
}
