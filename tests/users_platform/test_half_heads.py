"""A target that closes in the middle of its response's head.

Callers must not get a success for it, through one node or through two.
"""

import asyncio
import pathlib

import aiohttp
import raw_target
import sidecar_fleet

HEADER_PREFIX = "X-Balsamramp-"
ECHO = b"X-Balsamramp-Request-Id: REQUEST-ID\r\n"
SIGNATURE = b"X-Balsamramp-Response-Signature: 3e1b.07\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
START = b"HTTP/1.1 200 OK\r\n" + ECHO + SIGNATURE
WHOLE = START + b"Content-Length: 5\r\n\r\nwhole"
CASES = {
    "nothing": b"",
    "half a status line": b"HTTP/1.1 20",
    "status line": b"HTTP/1.1 200 OK\r\n",
    "no end of head": START,
    "half an end of head": START + b"\r",
    "with a length": START + b"Content-Length: 500\r\n",
    "half a length": START + b"Content-Length: 5",
    "length of 0": START + b"Content-Length: 0\r\n",
    "chunked": START + b"Transfer-Encoding: chunked\r\n",
    "half chunked": START + b"Transfer-Encoding: chu",
    "short body": START + b"Content-Length: 500\r\n\r\nshort",
    "short chunk": START + b"Transfer-Encoding: chunked\r\n\r\n5\r\nsho",
}


async def _request(
    session: aiohttp.ClientSession,
    node: sidecar_fleet.SidecarProcess,
    request_id: str,
) -> tuple[int, bytes]:
    headers = {
        "Host": "caja.example",
        HEADER_PREFIX + "Request-Id": request_id,
        HEADER_PREFIX + "Request-Timeout-Ms": "2000",
    }
    url = f"http://{node.address('callers')}/pay/1"
    async with session.post(url, headers=headers) as answer:
        return answer.status, await answer.read()


def test_response_without_its_whole_head_is_no_success(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path) as fleet:
            fleet.store.put("op", "config", sidecar_fleet.configuration(3))
            target = raw_target.RawTarget("i-raw", "caja")
            target.response = WHOLE
            await target.start()
            ports = sidecar_fleet.free_ports()
            beside = await fleet.start_beside(
                target, "beside", "z-a", ports, fleet.store.port,
                ports["stream"],
            )  # fmt: skip
            other = await fleet.start("other", "catalogo")
            await fleet.wait_until_ready()
            async with aiohttp.ClientSession() as session:

                async def served() -> bool:
                    return await _request(session, other, "r") == (
                        200,
                        b"whole",
                    )

                await fleet.wait_until(served)
                for number, (case, response) in enumerate(CASES.items()):
                    for before in (b"", CONTINUE):
                        target.response = before + response
                        for node in (beside, other):
                            status, _ = await _request(
                                session, node, f"r{number}"
                            )
                            assert status == 502, (case, before, status)

    asyncio.run(main())
