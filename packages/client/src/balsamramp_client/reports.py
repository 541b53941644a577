"""Reports: a node's status, arranged for people."""

import collections
from collections import abc
import typing

import attrs
from returns import result

from balsamramp_client import api
from balsamramp_client import command
from balsamramp_client import output

__all__ = ["not_found", "only", "rollouts", "state_lines", "status"]

ROLLOUT_HEADINGS = ("ROLLOUT", "PHASE", "STEP", "DECIDED AT", "REASON")

Document = dict[str, typing.Any]


def status(document: Document) -> output.Output:
    """Return the whole status: versions, zones, rollouts, zones out."""
    latest = _latest(document)
    notes = (
        f"node {document['node']} has version {document['version']} in force",
        f"zones out: {', '.join(document['zones_out']) or 'none'}",
    )
    tables = (
        _versions(document, latest),
        _zones(document, latest),
        rollouts(document).tables[0],
    )
    return output.Output(document, tables, notes)


def rollouts(document: Document) -> output.Output:
    """Return the rollouts of a status."""
    found = document["rollouts"]
    rows = []
    for name, state in sorted(found.items()):
        row = (
            name,
            str(state.get("phase", "")),
            str(state.get("step", "")),
            str(state.get("decided_at") or ""),
            str(state.get("reason", "")),
        )
        rows.append(row)
    table = output.Table(ROLLOUT_HEADINGS, tuple(rows))
    return output.Output(found, (table,), (f"{len(rows)} rollouts",))


def only(found: output.Output, name: str) -> output.Output:
    """Return the one rollout called ``name`` of ``found``."""
    table = found.tables[0]
    rows = tuple(row for row in table.rows if row[0] == name)
    return output.Output(
        {name: found.document[name]}, (attrs.evolve(table, rows=rows),)
    )


def state_lines(document: Document) -> dict[str, str]:
    """Return the parts of a status that ``watch`` follows, by subject."""
    lines = {"configuration": f"version {document['version']} in force"}
    for zone, versions in _zone_versions(document).items():
        lines[f"zone {zone}"] = f"{len(versions)} nodes"
    for zone in document["zones_out"]:
        lines[f"zone {zone} intent"] = "out"
    for node in document["nodes"]:
        lines[f"node {node['node']}"] = node["state"]
        for target in node["targets"]:
            lines[f"target {target['target']}"] = target["state"]
    for name, state in document["rollouts"].items():
        reason = state.get("reason")
        text = str(state.get("phase", ""))
        lines[f"rollout {name}"] = f"{text}: {reason}" if reason else text
    return lines


def not_found(
    what: str, name: str, known: abc.Iterable[str]
) -> command.Outcome:
    """Return the failure for a name that is not among ``known``."""
    text = f"no {what} {name!r}; known: {', '.join(sorted(known))}"
    return result.Failure(api.ApiError(text))


def _latest(document: Document) -> int:
    reported = [node["version"] or 0 for node in document["nodes"]]
    return max([document["version"], *reported])


def _versions(document: Document, latest: int) -> output.Table:
    counts = collections.Counter(node["version"] for node in document["nodes"])
    rows = []
    for version, count in sorted(
        counts.items(), key=lambda item: -1 if item[0] is None else -item[0]
    ):
        text = "not heard" if version is None else str(version)
        latest_mark = "latest" if version == latest else ""
        rows.append((text, str(count), latest_mark))
    return output.Table(("VERSION", "IN FORCE ON NODES", ""), tuple(rows))


def _zones(document: Document, latest: int) -> output.Table:
    rows = []
    for zone, versions in sorted(_zone_versions(document).items()):
        current = sum(1 for version in versions if version == latest)
        lagging = len(versions) - current
        lowest = min(version or 0 for version in versions)
        state = "out" if zone in document["zones_out"] else "in"
        rows.append(
            (zone, state, str(len(versions)), str(lagging), str(lowest))
        )
    headings = ("ZONE", "STATE", "NODES", "LAGGING", "LOWEST VERSION")
    return output.Table(headings, tuple(rows))


def _zone_versions(document: Document) -> dict[str, list[int | None]]:
    found: dict[str, list[int | None]] = {}
    for node in document["nodes"]:
        found.setdefault(node["zone"], []).append(node["version"])
    return found
