"""The queue disciplines by name."""

from balsamramp_node.inbound import queue_discipline
from balsamramp_node.inbound.queue_disciplines import earliest_deadline
from balsamramp_node.inbound.queue_disciplines import fair_share
from balsamramp_node.inbound.queue_disciplines import fifo
from balsamramp_node.inbound.queue_disciplines import lifo
from balsamramp_node.inbound.queue_disciplines import punctual

__all__ = [
    "QUEUE_DISCIPLINES",
    "QueueDisciplineNotFoundError",
    "find_queue_discipline",
]

QUEUE_DISCIPLINES: dict[str, type[queue_discipline.QueueDiscipline]] = {
    item.name: item
    for item in (
        fifo.FifoDiscipline,
        earliest_deadline.EarliestDeadlineDiscipline,
        lifo.LifoDiscipline,
        fair_share.FairShareDiscipline,
        punctual.PunctualDiscipline,
    )
}


class QueueDisciplineNotFoundError(LookupError):
    """No queue discipline has the given name."""


def find_queue_discipline(name: str) -> type[queue_discipline.QueueDiscipline]:
    """Return the queue discipline called ``name``.

    Raises QueueDisciplineNotFoundError if there is none.
    """
    if name not in QUEUE_DISCIPLINES:
        known = ", ".join(sorted(QUEUE_DISCIPLINES))
        raise QueueDisciplineNotFoundError(
            f"unknown queue discipline {name!r}; must be one of: {known}"
        )
    return QUEUE_DISCIPLINES[name]
