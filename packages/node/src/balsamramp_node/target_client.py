"""Target client: sends an admitted call to a target of this VM."""

import abc

import aiohttp
import attrs
from returns import result

from balsamramp_core import kernel
from balsamramp_core import verdict
from balsamramp_node import targets
from balsamramp_wire import messages

__all__ = ["HttpTargetClient", "TargetAnswer", "TargetClient"]

CONNECTIONS_MAX = 100


@attrs.frozen(kw_only=True)
class TargetAnswer:
    """The whole answer of a target."""

    status: int
    headers: messages.Headers
    body: bytes


class TargetClient(abc.ABC):
    """Sends a call to a target and returns its whole answer."""

    @abc.abstractmethod
    async def call(
        self, target: targets.Announcement, request: messages.CallRequest
    ) -> result.Result[TargetAnswer, verdict.Failure]:
        """Send ``request`` to ``target``, within the request's timeout."""


class HttpTargetClient(kernel.Service, TargetClient):
    """Calls targets over HTTP."""

    name = "target-client"

    def __init__(self, body_max_bytes: int) -> None:
        self._body_max_bytes = body_max_bytes
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        connector = aiohttp.TCPConnector(limit=CONNECTIONS_MAX)
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        )

    async def stop(self) -> None:
        if self._session is not None:
            await self._session.close()

    async def call(
        self, target: targets.Announcement, request: messages.CallRequest
    ) -> result.Result[TargetAnswer, verdict.Failure]:
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(request.timeout.total_seconds())
        try:
            async with self._session.request(
                request.method,
                target.url + request.path,
                headers=list(request.headers),
                data=request.body or None,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return await self._read(response)
        except aiohttp.ClientConnectorError as error:
            return _failure(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.TARGET_FAILED,
                f"cannot connect: {error}",
            )
        except TimeoutError:
            return _failure(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.DEADLINE,
                "no answer within the deadline",
            )
        except aiohttp.ClientError as error:
            return _failure(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.TARGET_FAILED,
                f"answer cut: {error!r}",
            )

    async def _read(
        self, response: aiohttp.ClientResponse
    ) -> result.Result[TargetAnswer, verdict.Failure]:
        parts = []
        size = 0
        async for chunk in response.content.iter_any():
            parts.append(chunk)
            size += len(chunk)
            if size <= self._body_max_bytes:
                continue
            response.close()
            return _failure(
                verdict.Verdict.RAN,
                verdict.Reason.TOO_LARGE,
                f"answer is over {self._body_max_bytes} bytes",
            )
        headers = tuple(
            (str(name), value) for name, value in response.headers.items()
        )
        answer = TargetAnswer(
            status=response.status, headers=headers, body=b"".join(parts)
        )
        return result.Success(answer)


def _failure(
    ran: verdict.Verdict, reason: verdict.Reason, message: str
) -> result.Result[TargetAnswer, verdict.Failure]:
    return result.Failure(verdict.Failure(ran, reason, message))
