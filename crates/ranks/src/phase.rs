//! How far the coordinator of a group is with a switch to another expert map.

use crate::switch::{Arming, Deciding, Fencing, Holding, Preparing, Released, Releasing, Switch};
use flamingowheel_protocol::ranks::Map;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time after which the coordinator arms ranks itself that are not reported as armed.
pub(crate) const DIRECT_ARM_DELAY: Duration = Duration::from_millis(300);

/// How far a coordinator is with a switch. While it decides, the time is that of the request for the
/// hold; while it fences rank 0, the map is the one in use.
#[derive(Debug, Default)]
pub(crate) enum Phase {
    #[default]
    Idle,
    Preparing(Switch<Preparing>, Instant),
    Holding(Switch<Holding>, HoldRequest),
    Deciding(Switch<Deciding>, Option<Instant>),
    Fencing(Switch<Fencing>, Arc<Map>),
    Arming(Switch<Arming>, ArmingTimes),
    Releasing(Switch<Releasing>),
    Released(Switch<Released>),
}

/// Times of the arming phase. `requested_at` is absent if an earlier coordinator requested the
/// hold; from `arm_directly_at` on, this coordinator arms the remaining ranks itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArmingTimes {
    pub(crate) requested_at: Option<Instant>,
    pub(crate) arm_directly_at: Instant,
}

/// A requested hold, and the rank whose agent is to issue it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HoldRequest {
    pub(crate) issuer: usize,
    pub(crate) requested_at: Instant,
    pub(crate) held_at: Option<Instant>,
}

impl Phase {
    /// Whether a hold of the group may be in force or in flight.
    pub(crate) fn may_hold_group(&self) -> bool {
        match self {
            Self::Idle | Self::Preparing(..) | Self::Released(_) => false,
            Self::Holding(..) | Self::Deciding(..) | Self::Fencing(..) => true,
            Self::Arming(..) | Self::Releasing(_) => true,
        }
    }

    /// The epoch of the group in which the switch runs.
    pub(crate) fn epoch(&self) -> Option<u64> {
        match self {
            Self::Idle => None,
            Self::Preparing(switch, _) => Some(switch.epoch),
            Self::Holding(switch, _) => Some(switch.epoch),
            Self::Deciding(switch, _) => Some(switch.epoch),
            Self::Fencing(switch, _) => Some(switch.epoch),
            Self::Arming(switch, _) => Some(switch.epoch),
            Self::Releasing(switch) => Some(switch.epoch),
            Self::Released(switch) => Some(switch.epoch),
        }
    }
}
