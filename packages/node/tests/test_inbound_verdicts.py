"""State machine test of the inbound handler: at most once, true verdicts.

Messages are delivered in any order, repeatedly, late or never, before and
after cancellations, refusals and restarts of the node. A call must not run
twice, and a call that ran must not be reported as not run.
"""

import asyncio
from collections import abc
import datetime
import functools
import typing

import attrs
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
from returns import result

from balsamramp_core import metrics
from balsamramp_core import verdict
from balsamramp_node.inbound import deduplication_cache
from balsamramp_node.inbound import inbound_handler
from balsamramp_node.inbound import target_client
from balsamramp_node.inbound import targets
from balsamramp_node.inbound.concurrency_limits import fixed
from balsamramp_node.inbound.limiters import concurrency_limiter
from balsamramp_node.outbound import call_transport
from balsamramp_testing import virtual_time
from balsamramp_wire import messages

TIMEOUT = datetime.timedelta(seconds=2)
RUN_TIME = datetime.timedelta(milliseconds=300)
STEPS = strategies.sampled_from([0.01, 0.2, 1.0, 15.0])


class _Target(target_client.TargetClient):
    """Counts the runs of each call; fails those with the body ``cut``."""

    def __init__(self, clock: virtual_time.VirtualClock) -> None:
        self._clock = clock
        self.runs: dict[str, int] = {}

    async def call(
        self,
        target: targets.Announcement,
        request: messages.CallRequest,
        time_left: datetime.timedelta,
    ) -> target_client.TargetCallResult:
        runs = self.runs.get(request.call_id, 0)
        self.runs[request.call_id] = runs + 1
        await self._clock.sleep(min(RUN_TIME, time_left))
        if request.body == b"cut":
            return result.Failure(
                verdict.Failure(
                    verdict.Verdict.MAY_HAVE_RUN,
                    verdict.Reason.TARGET_FAILED,
                    "cut",
                )
            )
        body = request.call_id.encode()
        return result.Success(
            target_client.TargetResponse(status=200, headers=(), body=body)
        )


class _Membership:
    """Stands in for the membership, which receives target records."""

    def set_targets(self, records: object) -> None:
        self.records = records


@attrs.define(eq=False)
class _Message:
    """A message in transit.

    The first copy is delivered at most once, over one connection; repeats
    arrive over other connections. The first connection is closed before a
    repeat is sent, so no reply is received on it afterwards.
    """

    request: messages.CallRequest
    deadline: datetime.timedelta
    delivered: bool = False
    repeated: bool = False


HandlerFactory = abc.Callable[..., inbound_handler.InboundHandler]


class InboundHandlerMachine(stateful.RuleBasedStateMachine):
    """Sends, delivers and cancels calls, and restarts the node."""

    make_handler: HandlerFactory = staticmethod(inbound_handler.InboundHandler)
    sent = stateful.Bundle("sent")

    def __init__(self) -> None:
        super().__init__()
        loop = virtual_time._VirtualLoop(virtual_time._JumpingSelector())
        self.runner = asyncio.Runner(loop_factory=lambda: loop)
        self.clock = virtual_time.VirtualClock()
        self.target = _Target(self.clock)
        self.incarnation = 0
        self.call_count = 0
        self.replies: dict[str, list[call_transport.Reply]] = {}
        self.dead: list[inbound_handler.InboundHandler] = []
        self.submitted: list[asyncio.Task[None]] = []
        self._run_action(self._start)

    def teardown(self) -> None:
        self._run_action(functools.partial(self._sleep, 20.0))
        self.check()
        assert all(task.done() for task in self.submitted)
        self.runner.close()

    def _run_action(
        self, action: abc.Callable[[], abc.Awaitable[None]]
    ) -> None:
        async def run() -> None:
            await action()

        self.runner.run(run())

    async def _sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)

    async def _start(self) -> None:
        self.incarnation += 1
        self.local = targets.LocalTargets(
            typing.cast(typing.Any, _Membership()),
            self.clock,
            metrics.Metrics(),
            datetime.timedelta(hours=10),
        )
        self.local.announce(
            targets.Announcement(target="t", service="s", url="http://t")
        )
        self.inbound_handler = self.make_handler(
            self.incarnation,
            self.local,
            lambda announced: concurrency_limiter.ConcurrencyLimiter(
                announced, fixed.FixedLimit(2), self.clock
            ),
            self.clock,
            metrics.Metrics(),
            self.target,
            lambda: False,
            typing.cast(typing.Any, None),
        )

    @stateful.rule(target=sent, body=strategies.sampled_from([b"", b"cut"]))
    def send(self, body: bytes) -> _Message:
        request = self._request("t", body)
        now = datetime.timedelta(seconds=self.runner.get_loop().time())
        return _Message(request, now + TIMEOUT)

    def _request(self, target: str, body: bytes) -> messages.CallRequest:
        self.call_count += 1
        return messages.CallRequest(
            call_id=f"c{self.call_count}",
            service="s",
            target=target,
            incarnation=self.incarnation,
            method="POST",
            path="/",
            headers=(),
            timeout=TIMEOUT,
            idempotent=False,
            body=body,
        )

    @stateful.rule(message=sent)
    def deliver(self, message: _Message) -> None:
        if not message.delivered:
            message.delivered = True
            self._run_action(functools.partial(self._deliver, message, False))

    @stateful.rule(message=sent)
    def repeat(self, message: _Message) -> None:
        message.repeated = True
        self._run_action(functools.partial(self._deliver, message, True))

    async def _deliver(self, message: _Message, repeat: bool) -> None:
        task = asyncio.create_task(self._submit(message, repeat))
        self.submitted.append(task)
        await asyncio.sleep(0)

    async def _submit(self, message: _Message, repeat: bool) -> None:
        sent_at = message.deadline - TIMEOUT
        age = self.clock.monotonic() - sent_at
        request = attrs.evolve(message.request, repeat=repeat)
        reply = await self.inbound_handler.submit(request, age)
        if message.repeated and not repeat:
            return
        self.replies.setdefault(reply.call_id, []).append(reply)

    @stateful.rule(message=sent)
    def cancel(self, message: _Message) -> None:
        async def run() -> None:
            self.inbound_handler.cancel(message.request.call_id, "t")

        self._run_action(run)

    @stateful.rule(seconds=STEPS)
    def wait(self, seconds: float) -> None:
        self._run_action(functools.partial(self._sleep, seconds))

    @stateful.rule()
    def serve_others(self) -> None:
        """Let time pass while the handler serves other calls."""
        self._run_action(self._serve_others)

    async def _serve_others(self) -> None:
        for _ in range(15):
            await self._sleep(1.0)
            request = self._request("u", b"")
            await self.inbound_handler.submit(request)

    @stateful.rule()
    def drain(self) -> None:
        async def run() -> None:
            self.local.drain("t")

        self._run_action(run)

    @stateful.rule()
    def restart_node(self) -> None:
        self._run_action(self._start)

    @stateful.invariant()
    def check(self) -> None:
        for task in self.submitted:
            assert not task.done() or task.exception() is None
        for call_id, runs in self.target.runs.items():
            assert runs <= 1, f"{call_id} ran {runs} times"
        for call_id, replies in self.replies.items():
            for reply in replies:
                self._check_reply(call_id, reply)

    def _check_reply(self, call_id: str, reply: call_transport.Reply) -> None:
        if isinstance(reply, messages.CallAnswer):
            assert reply.body == call_id.encode()
            return
        if reply.failure.verdict is verdict.Verdict.NOT_RUN:
            assert self.target.runs.get(call_id, 0) == 0, reply


class _WithoutDeduplication(inbound_handler.InboundHandler):
    """Forgets all earlier calls when a call is submitted."""

    async def submit(
        self,
        request: messages.CallRequest,
        age: datetime.timedelta = inbound_handler.NO_AGE,
    ) -> call_transport.Reply:
        self._deduplication = deduplication_cache.DeduplicationCache()
        return await super().submit(request, age)


class _WithoutAge(inbound_handler.InboundHandler):
    """Treats every message as just sent."""

    async def submit(
        self,
        request: messages.CallRequest,
        age: datetime.timedelta = inbound_handler.NO_AGE,
    ) -> call_transport.Reply:
        return await super().submit(request)


class _WithoutIncarnation(inbound_handler.InboundHandler):
    """Accepts calls for an earlier incarnation of the node."""

    async def submit(
        self,
        request: messages.CallRequest,
        age: datetime.timedelta = inbound_handler.NO_AGE,
    ) -> call_transport.Reply:
        current = attrs.evolve(request, incarnation=self._incarnation)
        return await super().submit(current, age)


class _WithoutRepeat(inbound_handler.InboundHandler):
    """Ignores that a message is a repeat."""

    async def submit(
        self,
        request: messages.CallRequest,
        age: datetime.timedelta = inbound_handler.NO_AGE,
    ) -> call_transport.Reply:
        return await super().submit(attrs.evolve(request, repeat=False), age)


SETTINGS = hypothesis.settings(
    max_examples=600,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    report_multiple_bugs=False,
)
WITHOUT_SHRINKING = hypothesis.settings(
    SETTINGS,
    phases=[hypothesis.Phase.generate],
)


def _run_machine(
    make_handler: HandlerFactory, settings: hypothesis.settings
) -> None:
    class Machine(InboundHandlerMachine):
        """The machine with the handler under test."""

    Machine.make_handler = staticmethod(make_handler)
    stateful.run_state_machine_as_test(Machine, settings=settings)


def test_calls_run_at_most_once_and_verdicts_are_true() -> None:
    _run_machine(inbound_handler.InboundHandler, SETTINGS)


@pytest.mark.parametrize(
    "broken_handler",
    [_WithoutAge, _WithoutIncarnation, _WithoutDeduplication, _WithoutRepeat],
)
def test_machine_fails_without_mechanism(
    broken_handler: HandlerFactory,
) -> None:
    with pytest.raises(AssertionError):
        _run_machine(broken_handler, WITHOUT_SHRINKING)
