//! When a changed key of the settings file takes effect.

use super::{
    CrossingSettings, LinkSettings, ListenSettings, MachineSettings, MeshSettings, QuotaSettings,
    RetrySettings, RolloutSettings, TimeSettings, WithdrawalSettings,
};

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

/// Collects the keys whose values differ.
#[derive(Default)]
struct Comparison {
    changed: Vec<ChangedKey>,
}

impl Comparison {
    fn compare<T: PartialEq>(&mut self, key: &'static str, old: &T, new: &T, effect: KeyEffect) {
        if old != new {
            self.changed.push(ChangedKey { key, effect });
        }
    }
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
        machine,
    } = new;
    let mut keys = Comparison::default();
    keys.compare("id", &old.id, id, KeyEffect::Restart);
    keys.compare("zone", &old.zone, zone, KeyEffect::Restart);
    keys.compare("service", &old.service, service, KeyEffect::AtOnce);
    keys.compare("target", &old.target, target, KeyEffect::AtOnce);
    keys.compare("store", &old.store, store, KeyEffect::AtOnce);
    keys.compare(
        "first_start",
        &old.first_start,
        first_start,
        KeyEffect::NextUse,
    );
    keys.compare("zones", &old.zones, zones, KeyEffect::NextUse);
    compare_listen(&mut keys, &old.listen, listen);
    compare_times(&mut keys, &old.times, times);
    compare_retry(&mut keys, &old.retry, retry);
    compare_rollout(&mut keys, old.rollout, *rollout);
    compare_quota(&mut keys, old.quota, *quota);
    compare_withdrawal(&mut keys, old.withdrawal, *withdrawal);
    compare_crossing(&mut keys, old.crossing, *crossing);
    compare_link(&mut keys, old.link, *link);
    compare_machine(&mut keys, old.machine, *machine);
    keys.changed
}

fn compare_listen(keys: &mut Comparison, old: &ListenSettings, new: &ListenSettings) {
    let ListenSettings {
        calls,
        peers,
        advertised,
        ready,
        control,
        metrics,
    } = new;
    keys.compare("listen.calls", &old.calls, calls, KeyEffect::Restart);
    keys.compare("listen.peers", &old.peers, peers, KeyEffect::Restart);
    keys.compare(
        "listen.advertised",
        &old.advertised,
        advertised,
        KeyEffect::AtOnce,
    );
    keys.compare("listen.ready", &old.ready, ready, KeyEffect::Restart);
    keys.compare("listen.control", &old.control, control, KeyEffect::Restart);
    keys.compare("listen.metrics", &old.metrics, metrics, KeyEffect::Restart);
}

fn compare_times(keys: &mut Comparison, old: &TimeSettings, new: &TimeSettings) {
    let TimeSettings {
        report_every,
        drain,
        grace,
    } = new;
    keys.compare(
        "times.report_every",
        &old.report_every,
        report_every,
        KeyEffect::AtOnce,
    );
    keys.compare("times.drain", &old.drain, drain, KeyEffect::AtOnce);
    keys.compare("times.grace", &old.grace, grace, KeyEffect::NextUse);
}

fn compare_retry(keys: &mut Comparison, old: &RetrySettings, new: &RetrySettings) {
    let RetrySettings {
        ratio,
        slack,
        window,
    } = new;
    keys.compare("retry.ratio", &old.ratio, ratio, KeyEffect::AtOnce);
    keys.compare("retry.slack", &old.slack, slack, KeyEffect::AtOnce);
    keys.compare("retry.window", &old.window, window, KeyEffect::AtOnce);
}

fn compare_rollout(keys: &mut Comparison, old: RolloutSettings, new: RolloutSettings) {
    let RolloutSettings { share, slack } = new;
    keys.compare("rollout.share", &old.share, &share, KeyEffect::NextUse);
    keys.compare("rollout.slack", &old.slack, &slack, KeyEffect::NextUse);
}

fn compare_quota(keys: &mut Comparison, old: QuotaSettings, new: QuotaSettings) {
    let QuotaSettings { slack, window } = new;
    keys.compare("quota.slack", &old.slack, &slack, KeyEffect::Restart);
    keys.compare("quota.window", &old.window, &window, KeyEffect::Restart);
}

fn compare_withdrawal(
    keys: &mut Comparison,
    old: Option<WithdrawalSettings>,
    new: Option<WithdrawalSettings>,
) {
    let within = |settings: WithdrawalSettings| {
        let WithdrawalSettings { within } = settings;
        within
    };
    let (old, new) = (old.map(within), new.map(within));
    keys.compare("withdrawal.within", &old, &new, KeyEffect::AtOnce);
}

fn compare_crossing(keys: &mut Comparison, old: CrossingSettings, new: CrossingSettings) {
    let CrossingSettings {
        base,
        per_kib,
        most,
    } = new;
    keys.compare("crossing.base", &old.base, &base, KeyEffect::AtOnce);
    keys.compare(
        "crossing.per_kib",
        &old.per_kib,
        &per_kib,
        KeyEffect::AtOnce,
    );
    keys.compare("crossing.most", &old.most, &most, KeyEffect::AtOnce);
}

fn compare_link(keys: &mut Comparison, old: LinkSettings, new: LinkSettings) {
    let LinkSettings { mbps, services } = new;
    keys.compare("link.mbps", &old.mbps, &mbps, KeyEffect::AtOnce);
    keys.compare("link.services", &old.services, &services, KeyEffect::AtOnce);
}

fn compare_machine(keys: &mut Comparison, old: MachineSettings, new: MachineSettings) {
    let MachineSettings {
        memory_mb,
        descriptors,
    } = new;
    keys.compare(
        "machine.memory_mb",
        &old.memory_mb,
        &memory_mb,
        KeyEffect::AtOnce,
    );
    keys.compare(
        "machine.descriptors",
        &old.descriptors,
        &descriptors,
        KeyEffect::AtOnce,
    );
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
