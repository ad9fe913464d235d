"""Builds what runs rollouts; loaded by an instance that may hold their lease."""

from kumquatseam.gateway._rollout_candidate import ROLLOUT_LEASE, RolloutParts
from kumquatseam.leases import DutyLease
from kumquatseam.loops import BackgroundTask
from kumquatseam.peers import LeaseHeartbeat
from kumquatseam.rollouts import RolloutView
from kumquatseam.rollouts.duty import RolloutBounds, RolloutDuty


def build_lease(parts: RolloutParts) -> DutyLease:
    """Return the lease on the duty."""
    bus = parts.bus
    return DutyLease(
        parts.log_service,
        ROLLOUT_LEASE,
        bus.name,
        parts.settings.lease_s,
        parts.lease_rank,
        on_held=lambda fence: bus.publish(LeaseHeartbeat(ROLLOUT_LEASE, fence)),
    )


def build_duty(
    parts: RolloutParts, lease: DutyLease, view: RolloutView
) -> BackgroundTask:
    """Return the duty.

    :param view: what this instance knows of rollouts.
    """
    return RolloutDuty(
        lease,
        parts.targets,
        parts.live,
        parts.directory,
        parts.orders,
        parts.bus,
        view,
        parts.running_on,
        may_act=lambda: not parts.path.is_lost,
        bounds=RolloutBounds(
            parts.settings.replaced_weights_grace_s,
            parts.settings.complete_s,
        ),
    )
