"""Registry of the rollout policies, keyed by name."""

from balsamramp_node.rollouts import rollout_policy
from balsamramp_node.rollouts.policies import bounded_exposure
from balsamramp_node.rollouts.policies import by_time
from balsamramp_node.rollouts.policies import error_rate
from balsamramp_node.rollouts.policies import evidence

__all__ = ["POLICIES", "PolicyNotFoundError", "find_policy"]

POLICIES: dict[str, type[rollout_policy.RolloutPolicy]] = {
    item.name: item
    for item in (
        bounded_exposure.BoundedExposurePolicy,
        by_time.ByTimePolicy,
        error_rate.ErrorRatePolicy,
        evidence.EvidencePolicy,
    )
}


class PolicyNotFoundError(LookupError):
    """No rollout policy has the given name."""


def find_policy(name: str) -> type[rollout_policy.RolloutPolicy]:
    """Return the policy class ``name``; raise PolicyNotFoundError."""
    if name not in POLICIES:
        known = ", ".join(sorted(POLICIES))
        raise PolicyNotFoundError(
            f"no rollout policy {name!r}; known policies: {known}"
        )
    return POLICIES[name]
