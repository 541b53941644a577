"""Key joins: what a new home of keys learns from the earlier ones."""

import asyncio
from collections import abc
import datetime

from returns import result

from balsamramp_core import clock
from balsamramp_node import key_homes
from balsamramp_wire import control
from balsamramp_wire import messages

__all__ = ["KeyJoins"]

ASK_TIMEOUT = datetime.timedelta(milliseconds=500)
ASKED_AT_ONCE = 8
UNREADY_MIN = datetime.timedelta(seconds=2)

_Target = tuple[str, str]
KeyTest = abc.Callable[[str], bool]


class KeyJoins:
    """Asks each home once, when a target of this node comes.

    A home that has run none of the keys for which the new target ranks
    higher says so, and runs none of them from then on while that target
    is ready. So if it is lost later, nothing is in doubt for the target.
    """

    def __init__(
        self,
        node: str,
        homes: key_homes.KeyHomes,
        peers: control.PeerTransport,
        time: clock.Clock,
        has_key: abc.Callable[[str, KeyTest], bool],
    ) -> None:
        self._node = node
        self._homes = homes
        self._peers = peers
        self._clock = time
        self._has_key = has_key
        self._cleared: dict[_Target, dict[str, bool]] = {}
        self._joined: dict[_Target, str] = {}
        peers.handle(messages.KeyJoinRequest, self._serve)

    def cleared(self, service: str, target: str) -> list[str]:
        """Return the homes that had run no key of ``target``'s."""
        answers = self._cleared.get((service, target), {})
        return [name for name, clear in answers.items() if clear]

    def outranks(
        self, service: str, key: str, target: str, now: datetime.timedelta
    ) -> bool:
        """Tell whether a target that asked here has ``key`` as its own.

        That ends when it has not been ready for ``UNREADY_MIN``, by which
        time it has dropped what it was told.
        """
        own = key_homes.rank(key, target)
        for joined_service, joined in self._joined:
            if joined_service != service or joined == target:
                continue
            if key_homes.rank(key, joined) < own:
                continue
            home = self._homes.find(service, joined)
            if home is None or home.unready_since is None:
                return True
            if now - home.unready_since < UNREADY_MIN:
                return True
        return False

    async def ask(self, own: abc.Sequence[messages.TargetRecord]) -> None:
        """Ask the homes that the ready targets in ``own`` have not asked."""
        ready = {(record.service, record.target) for record in own}
        for name in list(self._cleared):
            if name not in ready:
                del self._cleared[name]
        for service, target in ready:
            answers = self._cleared.setdefault((service, target), {})
            missing = [
                home
                for home in self._homes.known(service)
                if home.node != self._node and home.name not in answers
            ]
            await asyncio.gather(
                *(
                    self._ask_one(service, target, home, answers)
                    for home in missing[:ASKED_AT_ONCE]
                )
            )

    async def _ask_one(
        self,
        service: str,
        target: str,
        home: key_homes.Home,
        answers: dict[str, bool],
    ) -> None:
        request = messages.KeyJoinRequest(
            service=service, target=target, asked=home.target
        )
        reply = await self._peers.send(home.control, request, ASK_TIMEOUT)
        if isinstance(reply, result.Failure):
            return
        answer = reply.unwrap()
        answers[home.name] = not answer.used
        now = self._clock.monotonic()
        self._homes.learn_lost(service, answer.lost, now)

    async def _serve(
        self, request: messages.KeyJoinRequest
    ) -> messages.KeyJoinReply:
        service = request.service
        self._joined[service, request.target] = request.asked

        def takes_over(key: str) -> bool:
            return key_homes.rank(key, request.target) >= (
                key_homes.rank(key, request.asked)
            )

        used = self._has_key(service, takes_over)
        return messages.KeyJoinReply(used, self._homes.lost(service))
