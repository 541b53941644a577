"""Distribution: hands changes of configuration from node to node."""

import asyncio
import datetime

from absl import logging
from returns import result

from balsamramp_core import configuration
from balsamramp_core import kernel
from balsamramp_core import metrics
from balsamramp_core import settings
from balsamramp_node import store
from balsamramp_wire import control
from balsamramp_wire import messages

__all__ = ["Distribution"]

REQUEST_TIMEOUT = datetime.timedelta(seconds=2)


class Distribution(kernel.Service):
    """Serves changes to peers and fetches those that this node lacks."""

    name = "distribution"
    requires = ("configuration",)

    def __init__(
        self,
        transport: control.PeerTransport,
        configurations: store.ConfigurationStore,
        counters: metrics.Metrics,
    ) -> None:
        self._transport = transport
        self._store = configurations
        self._metrics = counters
        self._fetching: asyncio.Task[None] | None = None
        transport.handle(messages.ChangesRequest, self._serve_changes)
        transport.handle(messages.PushRequest, self._serve_push)

    async def stop(self) -> None:
        if self._fetching is not None:
            self._fetching.cancel()
            await asyncio.gather(self._fetching, return_exceptions=True)

    def hear(self, peer: settings.Address, version: int) -> None:
        """Note that ``peer`` has ``version``; fetch from it if later."""
        if version <= self._store.current.version:
            return
        if self._fetching is not None and not self._fetching.done():
            return
        self._fetching = asyncio.create_task(self._fetch(peer))

    async def _fetch(self, peer: settings.Address) -> None:
        request = messages.ChangesRequest(self._store.current.version)
        sent = await self._transport.send(peer, request, REQUEST_TIMEOUT)
        if isinstance(sent, result.Failure):
            return
        reply: messages.ChangesReply = sent.unwrap()
        self._metrics.count("changes_fetched_total", len(reply.changes))
        if reply.snapshot:
            self._restore(reply.snapshot)
        self._offer(reply.changes)

    def _restore(self, snapshot: bytes) -> None:
        decoded = configuration.configuration_from_bytes(snapshot)
        if isinstance(decoded, result.Failure):
            logging.error("snapshot refused: %s", decoded.failure())
            return
        self._store.restore(decoded.unwrap())

    def _offer(self, changes: tuple[bytes, ...]) -> None:
        for data in changes:
            change = configuration.change_from_bytes(data)
            if isinstance(change, result.Failure):
                logging.error("change refused: %s", change.failure())
                return
            self._store.offer(change.unwrap())

    async def _serve_changes(
        self, request: messages.ChangesRequest
    ) -> messages.ChangesReply:
        changes = self._store.changes_after(request.version)
        if changes is None:
            current = self._store.current
            snapshot = configuration.configuration_to_bytes(current)
            return messages.ChangesReply(snapshot=snapshot)
        encoded = [configuration.change_to_bytes(item) for item in changes]
        return messages.ChangesReply(changes=tuple(encoded))

    async def _serve_push(
        self, request: messages.PushRequest
    ) -> messages.PushReply:
        self._offer(request.changes)
        return messages.PushReply(self._store.current.version)
