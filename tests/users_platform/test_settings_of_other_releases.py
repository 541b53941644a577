"""A settings file of an earlier release beside the code of a later one.

Guards against a node that does not start after an upgrade because its
settings lack a name that the later release has, or have no value for it.
"""

import asyncio
import json
import pathlib
import re
import typing

import aiohttp
import pytest
from returns import result
import sidecar_fleet

from balsamramp_core import settings
from balsamramp_node.process import sidecar_options

OPTIONS = sidecar_options.OPTIONS
REQUIRED = {
    ("node", "id"): "a",
    ("node", "zone"): "z-a",
    ("node", "region"): "r",
    ("node", "service"): "caja",
    ("node", "target"): "127.0.0.1:80",
    ("listen", "host"): "127.0.0.1",
    ("listen", "callers"): "127.0.0.1:81",
    ("listen", "ready"): "127.0.0.1:82",
    ("listen", "announcements"): "127.0.0.1:83",
    ("listen", "stream_port"): "84",
    ("platform", "address"): "127.0.0.1:85",
}
SECONDS = 30.0


def _render(values: dict[tuple[str, str], str]) -> str:
    lines = []
    for section in dict.fromkeys(section for section, _ in values):
        lines.append(f"[{section}]")
        lines += [
            f"{name} = {value}"
            for (of, name), value in values.items()
            if of == section
        ]
    return "\n".join(lines) + "\n"


@pytest.mark.parametrize("given", [None, "", "   "])
@pytest.mark.parametrize("option", OPTIONS, ids=lambda item: item.name)
def test_option_that_is_left_out_or_empty(
    option: settings.Option, given: str | None
) -> None:
    """It has its default, or the error says what is allowed."""
    key = (option.section, option.name)
    values = {**REQUIRED, key: "" if given is None else given}
    if given is None:
        del values[key]
    parsed = settings.parse(_render(values), "node.ini", OPTIONS)
    if option.default is None:
        error = str(parsed.failure())
        assert f"[{option.section}] {option.name}: missing" in error
        assert settings.describe(option) in error
        return
    default = settings.parse(
        _render({**REQUIRED, key: option.default}), "node.ini", OPTIONS
    )
    assert parsed.unwrap().values[key] == default.unwrap().values[key]


@pytest.mark.parametrize(
    "option",
    [item for item in OPTIONS if item.default],
    ids=lambda item: item.name,
)
def test_environment_replaces_a_default_but_not_the_file(
    option: settings.Option,
) -> None:
    variable = f"BALSAMRAMP_{option.section}_{option.name}".upper()
    key = (option.section, option.name)
    other = {
        "choices": option.choices[-1] if option.choices else "",
        "addresses": "127.0.0.1:90",
    }.get("choices" if option.choices else option.kind, option.default)
    assert other is not None
    options = settings.with_environment(
        OPTIONS, "BALSAMRAMP", {variable: f" {other} "}
    ).unwrap()
    found = settings.parse(_render(REQUIRED), "node.ini", options).unwrap()
    written = settings.parse(
        _render({**REQUIRED, key: other}), "node.ini", OPTIONS
    ).unwrap()
    assert found.values[key] == written.values[key]
    file_first = settings.parse(
        _render({**REQUIRED, key: option.default or ""}), "node.ini", options
    ).unwrap()
    plain = settings.parse(_render(REQUIRED), "node.ini", OPTIONS).unwrap()
    assert file_first.values[key] == plain.values[key]


def test_environment_that_is_not_allowed_names_variable_and_values() -> None:
    for given, expected in (("x", "'x' given"), ("1", "from 100 to 1000000")):
        found = settings.with_environment(
            OPTIONS, "BALSAMRAMP", {"BALSAMRAMP_NODE_MEMORY": given}
        )
        assert isinstance(found, result.Failure)
        error = str(found.failure())
        assert "BALSAMRAMP_NODE_MEMORY" in error and expected in error
    assert settings.with_environment(
        OPTIONS, "BALSAMRAMP", {"BALSAMRAMP_NODE_MEMORY": ""}
    ).unwrap() == tuple(OPTIONS)


def _fill_in(text: str, fields: dict[str, typing.Any]) -> str:
    """Fill in a template; what has no value becomes nothing."""

    def value(match: re.Match[str]) -> str:
        found: typing.Any = fields
        for name in match[1].split("."):
            if isinstance(found, list):
                found = found[int(name)]
            else:
                found = found.get(name, "") if found else ""
        return str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


@pytest.mark.parametrize("known", ["bounds", "limits"])
def test_node_serves_though_its_platform_knows_few_names(
    tmp_path: pathlib.Path, known: str
) -> None:
    """The template of the deploy file, filled in by an earlier platform."""

    async def main() -> None:
        async with sidecar_fleet.SidecarFleet(tmp_path, 1) as fleet:
            fleet.store.put("op", "config", sidecar_fleet.configuration(3))
            sidecar = await fleet.start("a")
            sidecar.process.kill()
            await sidecar.process.wait()
            fields = {
                "nodeName": "a",
                "zone": "z-a",
                "region": "r",
                "service": "caja",
                "appAddr": f"127.0.0.1:{sidecar.target.port}",
                "ip": "127.0.0.1",
                "listen": {
                    "outbound": sidecar.address("callers"),
                    "ready": sidecar.address("ready"),
                    "control": sidecar.address("control"),
                },
                "internalPorts": [sidecar.ports["stream"]],
                "platform": {"address": f"127.0.0.1:{fleet.store.port}"},
                "limits": {"linkMbps": 100.0} if known == "limits" else {},
                "bounds": {"graceS": 2} if known == "bounds" else {},
            }
            deploy = sidecar_fleet.ROOT / "deploy"
            template = (deploy / "node.ini").read_text()
            port = f"\nmetrics_port = {sidecar.ports['metrics']}\n"
            text = _fill_in(template, fields)
            sidecar.settings.write_text(
                text.replace("\nlink_rate", f"{port}link_rate")
            )
            await fleet.restart(sidecar)
            async with asyncio.timeout(SECONDS):
                await fleet.wait_until(lambda: _is_ready(sidecar))
            lines = sidecar.log().splitlines()
            started = [item for item in lines if '"process_start"' in item]
            assert json.loads(started[-1])["environment"] == {}

    asyncio.run(main())


async def _is_ready(sidecar: sidecar_fleet.SidecarProcess) -> bool:
    try:
        return await sidecar.ready() == 200
    except aiohttp.ClientError:
        return False
