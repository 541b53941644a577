"""Fixed: an admission limit that never changes."""

import datetime

from balsamramp_node.door import admission

__all__ = ["FixedLimit"]


class FixedLimit(admission.AdmissionLimit):
    """The initial limit for ever; a baseline for the others."""

    name = "fixed"
    doc = "keeps the initial limit"

    @property
    def limit(self) -> int:
        return self._initial

    def finish(
        self,
        now: datetime.timedelta,
        latency: datetime.timedelta,
        outcome: admission.Outcome,
        in_flight: int,
    ) -> None:
        return None

    def reset(self) -> None:
        return None
