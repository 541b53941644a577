"""Shares of the memory and the descriptors that a process may use."""

import resource

from absl import logging
import attrs

__all__ = ["ProcessLimits"]

# Share of the memory for messages. The rest is for the program, and for the
# copies of a message that is joined or sent.
MESSAGES_MEMORY_SHARE = 0.2
# Share of the memory for large bodies of calls that other nodes send, with
# their copies.
PEER_BODIES_MEMORY_SHARE = 0.3
# Share of the memory for connections of callers beside their messages.
CONNECTIONS_MEMORY_SHARE = 0.05
CONNECTION_BYTES = 8 * 1024
# Descriptors that are left for files.
RESERVED_DESCRIPTORS = 200
# Where neither the settings nor the system set a limit.
DESCRIPTORS_MAX = 65_536
# Shares of the others. The rest is for peers, targets and the store, and for
# connections that are accepted before others are closed.
CALLERS_DESCRIPTORS_SHARE = 0.4
SIDE_DESCRIPTORS_SHARE = 1 / 16
SIDE_CONNECTIONS_MIN = 8
SIDE_CONNECTIONS_MAX = 64


@attrs.frozen(kw_only=True)
class ProcessLimits:
    """What a process may use: bytes of memory, and open descriptors."""

    memory_bytes: int
    descriptors: int

    @classmethod
    def make(cls, memory_bytes: int, descriptors: int) -> "ProcessLimits":
        """Return what the settings allow and the process really has.

        0 descriptors stand for the limit of the process, which is raised to
        what the settings say if the system lets it.
        """
        return cls(
            memory_bytes=_available_memory(memory_bytes),
            descriptors=_available_descriptors(descriptors),
        )

    @property
    def message_bytes(self) -> int:
        """Return the memory for messages."""
        return int(self.memory_bytes * MESSAGES_MEMORY_SHARE)

    @property
    def peer_body_bytes(self) -> int:
        """Return the memory for large bodies of calls of other nodes."""
        return int(self.memory_bytes * PEER_BODIES_MEMORY_SHARE)

    @property
    def caller_connections(self) -> int:
        """Return how many connections callers may have open."""
        connections_memory = self.memory_bytes * CONNECTIONS_MEMORY_SHARE
        return min(
            int(self._sockets * CALLERS_DESCRIPTORS_SHARE),
            int(connections_memory / CONNECTION_BYTES),
        )

    @property
    def side_connections(self) -> int:
        """Return how many connections each of the other servers has open."""
        share = int(self._sockets * SIDE_DESCRIPTORS_SHARE)
        return min(max(share, SIDE_CONNECTIONS_MIN), SIDE_CONNECTIONS_MAX)

    @property
    def _sockets(self) -> int:
        # Few descriptors are shared as they are.
        left = self.descriptors - RESERVED_DESCRIPTORS
        return max(left, self.descriptors // 2)


def _available_memory(memory_bytes: int) -> int:
    limit, _ = resource.getrlimit(resource.RLIMIT_AS)
    if limit == resource.RLIM_INFINITY or limit >= memory_bytes:
        return memory_bytes
    logging.warning(
        "[node] memory is %d bytes, but the address space of the process is"
        " limited to %d; using that",
        memory_bytes,
        limit,
    )
    return limit


def _available_descriptors(descriptors: int) -> int:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if not descriptors:
        return soft if soft != resource.RLIM_INFINITY else DESCRIPTORS_MAX
    if soft == resource.RLIM_INFINITY or soft >= descriptors:
        return descriptors
    wanted = descriptors
    if hard != resource.RLIM_INFINITY:
        wanted = min(descriptors, hard)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    except (OSError, ValueError) as error:
        logging.warning(
            "cannot raise the limit on descriptors from %d to %d: %s",
            soft,
            wanted,
            error,
        )
        wanted = soft
    if wanted < descriptors:
        logging.warning(
            "[node] descriptors is %d, but the process may have only %d;"
            " using these",
            descriptors,
            wanted,
        )
    return wanted
