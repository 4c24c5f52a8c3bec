//! Faults of the hosts in a replay of token pools.

/// A fault of one host during a part of a replay.
#[derive(Clone, Debug)]
pub struct HostFault {
    pub zone: usize,
    /// Number of the host within its zone.
    pub host: usize,
    /// First step with the fault.
    pub from: u64,
    /// Duration of the fault in steps.
    pub steps: u64,
    pub kind: FaultKind,
}

#[derive(Clone, Copy, Debug)]
pub enum FaultKind {
    /// The host is cut off and takes itself for the only reader.
    Isolated,
    /// The host reaches only the other hosts with this fault.
    CutOff,
    /// The host's links stall: it notices after a second and then takes itself for the
    /// only reader. Its renewals arrive after the fault.
    Stalled,
    /// The host loses power: it is unavailable during the fault, and empty after.
    Restart,
    /// The grants of the host's pool are lost in transmission.
    LosesGrants,
}
