"""Interface to the external system that takes reports of usage."""

import abc
from collections import abc as collections_abc
import datetime

import attrs
from returns import result

__all__ = ["PublishError", "UsagePublisher", "UsageReport"]


@attrs.frozen(kw_only=True)
class UsageReport:
    """The calls of each organisation that began in ``window``.

    ``holder`` is the node that reports and ``token`` the number of its
    lease.
    """

    window: int
    counts: collections_abc.Mapping[str, int]
    holder: str
    token: int


@attrs.frozen
class PublishError:
    """A report without confirmation, which may have been received."""

    message: str


class UsagePublisher(abc.ABC):
    """Sends reports of usage."""

    @abc.abstractmethod
    async def publish(
        self, report: UsageReport, send_until: datetime.timedelta
    ) -> result.Result[None, PublishError]:
        """Send ``report``, but no byte of it after ``send_until``.

        ``send_until`` is a time of the monotonic clock. When it has passed,
        the connection is reset, so that the kernel delivers nothing either.
        """
