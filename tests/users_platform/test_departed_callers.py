"""Callers that leave while a node's process stands still.

Guards against requests that lay in the socket of a process and are sent to a
target after their callers have left. Real processes, stopped by SIGSTOP.
"""

import asyncio
import pathlib
import signal
import socket

import pytest
import sidecar_fleet

CALLERS = 21
# Until the callers give up, and until the process goes on.
WAIT_SECONDS = 0.25
STOPPED_SECONDS = 2.0
SETTLE_SECONDS = 1.0


def _request(request_id: str) -> bytes:
    return (
        "GET /read/1 HTTP/1.1\r\nHost: caja.example\r\n"
        f"X-Balsamramp-Request-Id: {request_id}\r\n"
        "X-Balsamramp-Request-Timeout-Ms: 10000\r\n\r\n"
    ).encode()


async def _send(
    node: sidecar_fleet.SidecarProcess, request_id: str
) -> socket.socket:
    """Send a request on a new connection and return it."""
    host, _, port = node.address("callers").partition(":")
    sock = socket.create_connection((host, int(port)))
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_sendall(sock, _request(request_id))
    return sock


async def _is_served(node: sidecar_fleet.SidecarProcess) -> bool:
    sock = await _send(node, "before")
    with sock:
        async with asyncio.timeout(5):
            data = await asyncio.get_running_loop().sock_recv(sock, 1000)
    return data.startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("stopped", ["entry", "beside the target"])
@pytest.mark.parametrize("known", [True, False])
def test_no_target_gets_requests_whose_callers_left_a_stopped_process(
    tmp_path: pathlib.Path, stopped: str, known: bool
) -> None:
    """Without ``known`` the two processes exchange their first calls then."""

    async def main() -> tuple[list[str], bool, str]:
        async with sidecar_fleet.SidecarFleet(tmp_path) as fleet:
            configuration = sidecar_fleet.configuration(3)
            configuration["routes"]["read"]["timeoutMs"] = 10_000
            fleet.store.put("op", "config", configuration)
            entry = await fleet.start("entry", "catalogo")
            beside = await fleet.start("beside", "caja")
            await fleet.wait_until_ready()
            if known:
                await fleet.wait_until(lambda: _is_served(entry))
            else:
                await asyncio.sleep(SETTLE_SECONDS)
            process = (entry if stopped == "entry" else beside).process
            process.send_signal(signal.SIGSTOP)
            try:
                callers = [
                    await _send(entry, f"r{number}")
                    for number in range(CALLERS)
                ]
                await asyncio.sleep(WAIT_SECONDS)
                for sock in callers:
                    sock.close()
                await asyncio.sleep(STOPPED_SECONDS)
            finally:
                process.send_signal(signal.SIGCONT)
            await asyncio.sleep(SETTLE_SECONDS)
            runs = [run for run in beside.target.runs if run != "before"]
            return runs, await _is_served(entry), entry.log()

    runs, served, log = asyncio.run(main())
    assert runs == []
    assert served
    # The log tells whether the closes had lain behind the requests.
    seen = log.count('"seen":"behind-data"')
    assert seen == (CALLERS if stopped == "entry" else 0)
