"""Runs the handler of the requests of one connection."""

import asyncio
from collections import abc
import http

from absl import logging

from balsamramp_node.process import caller_connection_log
from balsamramp_node.process import caller_messages

__all__ = ["Handler", "HandlerRunner"]

Handler = abc.Callable[
    [caller_messages.RawRequest], abc.Awaitable[caller_messages.RawResponse]
]
HandlerFailure = caller_connection_log.HandlerFailure


class HandlerRunner:
    """Returns a response to each request, also when its handler fails.

    A handler is cancelled without a response only once ``departed`` is set.
    """

    def __init__(
        self,
        handler: Handler,
        departed: asyncio.Event,
        log: caller_connection_log.CallerConnectionLog | None,
    ) -> None:
        self._handler = handler
        self._departed = departed
        self._log = log

    async def run(
        self, request: caller_messages.RawRequest
    ) -> caller_messages.EncodedResponse:
        """Return the response to ``request``."""
        try:
            response = await self._handler(request)
        except Exception:
            logging.exception("request handler failed; responding with 502")
            response = self._failure_response(HandlerFailure.EXCEPTION)
        except asyncio.CancelledError:
            if self._departed.is_set():
                raise
            logging.error(
                "request handler was cancelled while its caller waits;"
                " responding with 502"
            )
            response = self._failure_response(HandlerFailure.CANCELLED)
        omit_body = request.method == "HEAD"
        try:
            return caller_messages.encode_response(response, omit_body)
        except Exception:
            logging.exception(
                "response cannot be encoded; responding with 502"
            )
            response = self._failure_response(HandlerFailure.INVALID_RESPONSE)
            return caller_messages.encode_response(response, omit_body)

    def _failure_response(
        self, cause: HandlerFailure
    ) -> caller_messages.RawResponse:
        if self._log is not None:
            self._log.record_handler_failure(cause)
        return caller_messages.empty_response(http.HTTPStatus.BAD_GATEWAY)
