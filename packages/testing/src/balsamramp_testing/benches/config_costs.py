"""Costs of single steps of configuration at the target size.

``python -m balsamramp_testing.benches.config_costs`` prints processor
time and bytes of a control request between two processes over gRPC, the
memory of members, resources and a whole node, and the processor time of
the steps that grow with the size of a zone or of the fleet.
"""

import asyncio
from collections import abc
import datetime
import os
import pathlib
import tempfile
import time
import tracemalloc

import msgspec

from balsamramp_core import configuration
from balsamramp_core import configuration_codec
from balsamramp_core import resource
from balsamramp_core import settings
from balsamramp_core.resources import labels
from balsamramp_core.resources import route
from balsamramp_core.resources import service
from balsamramp_node.configuration import fanout_tree
from balsamramp_node.membership import member_codec
from balsamramp_node.membership import member_list
from balsamramp_node.process import http_storage
from balsamramp_testing import fleet as fleet_module
from balsamramp_testing.benches import byte_relay
from balsamramp_wire import grpc_transport
from balsamramp_wire import messages

__all__ = ["main"]

MEMBERS = 19_000
ZONES = 16
SERVICES = 3_200
RESOURCES = 20_000
REQUESTS = 3_000
RELAYED = 1_000
CONNECTIONS = 200
IDLE_S = 3.0
TIMEOUT = datetime.timedelta(seconds=2)
KB = 1000


def make_members(count: int) -> list[messages.Member]:
    """Return members such as a large fleet has, one target each."""
    members = []
    for number in range(count):
        host = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
        target = messages.TargetRecord(
            target=f"target-{number}",
            service=f"service-{number % SERVICES}",
            labels={"version": "v1", "team": "reservas"},
            state=messages.TargetState.READY,
        )
        members.append(
            messages.Member(
                node=f"node-{number}",
                zone=f"region-{number % 8}-zone-{number % ZONES}",
                region=f"region-{number % 8}",
                stream=settings.Address(host, 7001),
                control=settings.Address(host, 7002),
                admin=settings.Address(host, 7003),
                incarnation=1_767_225_600_000_000_000 + number,
                sequence=7,
                state=messages.MemberState.ALIVE,
                targets=(target,),
            )
        )
    return members


def make_resources(count: int) -> list[resource.Resource]:
    """Return resources such as a large fleet has."""
    found: list[resource.Resource] = []
    for number in range(SERVICES):
        found.append(service.Service(name=f"service-{number}"))
    for number in range(2 * SERVICES):
        found.append(
            route.Route(
                name=f"route-{number}",
                service=f"service-{number % SERVICES}",
                selector={"team": "reservas"},
            )
        )
    for number in range(count - len(found)):
        found.append(
            labels.Labels(name=f"target-{number}", labels={"version": "v1"})
        )
    return found


def _timed(step: abc.Callable[[], object], repeats: int = 5) -> float:
    """Return the median time of ``step`` in milliseconds."""
    taken = []
    for _ in range(repeats):
        started_at = time.perf_counter()
        step()
        taken.append(time.perf_counter() - started_at)
    return sorted(taken)[repeats // 2] * 1e3


def _print_memory() -> None:
    packed = member_codec.pack(make_members(MEMBERS))
    tracemalloc.start()
    held = member_list.MemberList()
    for member in member_codec.unpack(packed):
        held.put(member)
    held.alive()
    per_member = tracemalloc.get_traced_memory()[0] / MEMBERS
    tracemalloc.stop()
    whole = configuration.merge(
        configuration.EMPTY, 1, make_resources(RESOURCES), ()
    )
    data = configuration_codec.snapshot_to_bytes(configuration.Snapshot(whole))
    tracemalloc.start()
    kept = configuration_codec.snapshot_from_bytes(data).unwrap()
    per_resource = tracemalloc.get_traced_memory()[0] / RESOURCES
    tracemalloc.stop()
    alone = msgspec.msgpack.encode(make_members(1)[0])
    print(f"a member in an exchange: {len(alone)} bytes")
    print(f"memory a member: {per_member:.0f} bytes")
    print(f"memory a resource: {per_resource:.0f} bytes")
    print(f"packed members: {len(packed) / KB:.0f} kB for {MEMBERS}")
    print(
        f"snapshot: {len(data) / KB:.0f} kB for"
        f" {len(kept.configuration.resources)} resources"
    )


def _print_steps() -> None:
    members = make_members(MEMBERS)
    held = member_list.MemberList()
    for member in members:
        held.put(member)
    zone = members[0].zone
    in_zone = [member for member in members if member.zone == zone]
    shape = fanout_tree.FanoutTree.seeded(len(in_zone), 17)
    whole = configuration.merge(
        configuration.EMPTY, 1, make_resources(RESOURCES), ()
    )
    snapshot = configuration.Snapshot(whole)
    data = configuration_codec.snapshot_to_bytes(snapshot)

    def put_one() -> None:
        held.put(members[0])

    def put_and_list_zone() -> None:
        held.put(members[0])
        held.alive_in(zone)

    def put_and_list_all() -> None:
        held.put(members[0])
        list(held.alive())

    def place() -> None:
        [member.node for member in held.alive_in(zone)]
        list(shape.children(shape.position(5)))

    steps: dict[str, abc.Callable[[], object]] = {
        "take in one member": put_one,
        "list a zone after a change": put_and_list_zone,
        "list the fleet after a change": put_and_list_all,
        "place a node in a zone's tree": place,
        "pack a zone's members": lambda: member_codec.pack(in_zone),
        "encode a snapshot": lambda: configuration_codec.snapshot_to_bytes(
            snapshot
        ),
        "decode a snapshot": lambda: configuration_codec.snapshot_from_bytes(
            data
        ),
    }
    for name, step in steps.items():
        print(f"{name}: {_timed(step):.3f} ms")


def _exchange() -> messages.ExchangeRequest:
    zones = [f"region-{n % 8}-zone-{n}" for n in range(ZONES)]
    age = datetime.timedelta(seconds=1.5)
    summaries = []
    for zone in zones[:3]:
        summaries.append(
            messages.ZoneSummary(
                zone=zone,
                counted_at=datetime.datetime.now(datetime.UTC),
                nodes=MEMBERS // ZONES,
                versions=(messages.VersionCount(123_456, MEMBERS // ZONES),),
            )
        )
    return messages.ExchangeRequest(
        node="node-1",
        zone=zones[0],
        members=(),
        digests={zone: (1 << 63) + 5 for zone in zones},
        state=messages.ConfigurationState(
            version=0, digest=bytes(16), in_service=False, read_age=age
        ),
        contact_ages=dict.fromkeys(zones[1:], age),
        summaries=tuple(summaries),
    )


def _processor_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split(")")[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def _resident_kb(pid: int) -> int:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    found = [line for line in status.splitlines() if "VmRSS" in line]
    return int(found[0].split()[1])


async def _idle_rate(pid: int) -> float:
    before = _processor_s(pid)
    await asyncio.sleep(IDLE_S)
    return (_processor_s(pid) - before) / IDLE_S


async def _print_requests(
    peer: settings.Address, pid: int, idle_rate: float
) -> None:
    transport = grpc_transport.GrpcControlTransport(
        settings.Address("127.0.0.1", 0)
    )
    requests: dict[str, messages.ControlRequest] = {
        "ping": messages.PingRequest(),
        "exchange": _exchange(),
    }
    for name, request in requests.items():
        (await transport.send(peer, request, TIMEOUT)).unwrap()
        started_at = time.perf_counter()
        own, other = time.process_time(), _processor_s(pid)
        for _ in range(REQUESTS):
            (await transport.send(peer, request, TIMEOUT)).unwrap()
        taken_s = time.perf_counter() - started_at
        own_s = time.process_time() - own
        other_s = _processor_s(pid) - other - idle_rate * taken_s
        size = len(msgspec.msgpack.encode(request))
        print(
            f"{name} of {size} bytes over gRPC: sender"
            f" {own_s / REQUESTS * 1e6:.0f} us, receiver"
            f" {other_s / REQUESTS * 1e6:.0f} us of processor time"
        )
    await transport.stop()


async def _print_connections(
    peer: settings.Address, pid: int, idle_rate: float
) -> None:
    own_before, other_before = _resident_kb(os.getpid()), _resident_kb(pid)
    started_at = time.perf_counter()
    own, other = time.process_time(), _processor_s(pid)
    transports = []
    for _ in range(CONNECTIONS):
        transport = grpc_transport.GrpcControlTransport(
            settings.Address("127.0.0.1", 0)
        )
        request = messages.PingRequest()
        (await transport.send(peer, request, TIMEOUT)).unwrap()
        transports.append(transport)
    taken_s = time.perf_counter() - started_at
    own_s = time.process_time() - own
    other_s = _processor_s(pid) - other - idle_rate * taken_s
    own_kb = _resident_kb(os.getpid()) - own_before
    other_kb = _resident_kb(pid) - other_before
    print(
        f"a ping on a new connection: sender"
        f" {own_s / CONNECTIONS * 1e6:.0f} us, receiver"
        f" {other_s / CONNECTIONS * 1e6:.0f} us of processor time"
    )
    print(
        f"an open connection: sender {own_kb / CONNECTIONS:.0f} kB, receiver"
        f" {other_kb / CONNECTIONS:.0f} kB resident"
    )
    for transport in transports:
        await transport.stop()


async def _print_bytes(peer: settings.Address) -> None:
    transport = grpc_transport.GrpcControlTransport(
        settings.Address("127.0.0.1", 0)
    )
    relay = byte_relay.ByteRelay(peer)
    address = await relay.start()
    for request in (messages.PingRequest(), _exchange()):
        sent = await transport.send(address, request, TIMEOUT)
        answer = len(msgspec.msgpack.encode(sent.unwrap()))
        relay.forward_bytes = relay.back_bytes = 0
        for _ in range(RELAYED):
            (await transport.send(address, request, TIMEOUT)).unwrap()
        size = len(msgspec.msgpack.encode(request))
        print(
            f"{request.method}: {size} bytes take"
            f" {relay.forward_bytes / RELAYED:.0f} on the wire; the reply of"
            f" about {answer} takes {relay.back_bytes / RELAYED:.0f}"
        )
    await transport.stop()
    await relay.stop()


async def _print_platform(url: str) -> None:
    client = http_storage.HttpStorageClient(url, TIMEOUT)
    await client.start()
    table = http_storage.HttpTable(client)
    started = time.process_time()
    for _ in range(REQUESTS):
        (await table.read("configuration/head")).unwrap()
    taken_s = time.process_time() - started
    print(f"a read of the table: {taken_s / REQUESTS * 1e6:.0f} us")
    await client.stop()


async def _print_processes(directory: pathlib.Path) -> None:
    async with fleet_module.Fleet(directory) as fleet:
        platform = await fleet.start_platform()
        await _print_platform(platform.url("http"))
        node = await fleet.start_node("n0", "zone-0")
        bound = node.addresses["control"]
        peer = settings.Address(bound["host"], bound["port"])
        pid = node.popen.pid
        await asyncio.sleep(IDLE_S)
        idle_rate = await _idle_rate(pid)
        print(f"a node alone: {_resident_kb(pid)} kB resident")
        print(f"a node alone, idle: {idle_rate:.4f} of a core")
        await _print_requests(peer, pid, idle_rate)
        await _print_connections(peer, pid, idle_rate)
        await _print_bytes(peer)


def main() -> None:
    """Print all costs."""
    _print_memory()
    _print_steps()
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(_print_processes(pathlib.Path(directory)))


if __name__ == "__main__":
    main()
