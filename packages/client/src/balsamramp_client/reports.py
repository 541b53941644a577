"""Reports: a node's status, arranged for people."""

import collections
from collections import abc
import typing

import attrs
from returns import result

from balsamramp_client import api
from balsamramp_client import command
from balsamramp_client import output

__all__ = ["not_found", "select_rollout", "rollouts", "state_lines", "status"]

ROLLOUT_HEADINGS = (
    "ROLLOUT",
    "PHASE",
    "SHARE",
    "OUTCOME",
    "WAITS FOR",
    "FORECAST",
)
ZONE_HEADINGS = ("ZONE", "STATE", "NODES", "VERSIONS", "LAG", "LAGGING")
VERSIONS_SHOWN = 5

Document = dict[str, typing.Any]


def status(document: Document) -> output.Output:
    """Return the whole status: versions, zones, rollouts, zones out."""
    read = document["configuration"]
    notes = [
        f"node {document['node']} has version {document['version']} in force",
        f"platform's log: {read['log']}, at version {read['log_version']}",
        f"zones out: {', '.join(document['zones_out']) or 'none'}",
    ]
    if read["refused"]:
        notes.append(f"last change refused: {read['refused']}")
    if not read["in_service"]:
        notes.append("this node is not in service yet: no version is vouched")
    tables = (
        _versions(document),
        _zones(document),
        rollouts(document).tables[0],
    )
    return output.Output(document, tables, tuple(notes))


def rollouts(document: Document) -> output.Output:
    """Return the rollouts of a status, keyed by name."""
    found = {
        state["rollout"]: state for state in document["rollouts"].values()
    }
    rows = []
    for name, state in sorted(found.items()):
        row = (
            name,
            str(state.get("phase", "")),
            str(state.get("share", "")),
            str(state.get("outcome") or state.get("reason", "")),
            str(state.get("waits_for", "")),
            str(state.get("forecast") or ""),
        )
        rows.append(row)
    table = output.Table(ROLLOUT_HEADINGS, tuple(rows))
    return output.Output(found, (table,), (f"{len(rows)} rollouts",))


def select_rollout(found: output.Output, name: str) -> output.Output:
    """Return the one rollout called ``name`` of ``found``."""
    table = found.tables[0]
    rows = tuple(row for row in table.rows if row[0] == name)
    return output.Output(
        {name: found.document[name]}, (attrs.evolve(table, rows=rows),)
    )


def state_lines(document: Document) -> dict[str, str]:
    """Return the parts of a status that ``watch`` follows, by subject."""
    lines = {"configuration": f"version {document['version']} in force"}
    for zone, count in _zone_nodes(document).items():
        lines[f"zone {zone}"] = f"{count} nodes"
    for zone in document["zones_out"]:
        lines[f"zone {zone} intent"] = "out"
    for node in document["nodes"]:
        lines[f"node {node['node']}"] = node["state"]
        for target in node["targets"]:
            lines[f"target {target['target']}"] = target["state"]
    for name, state in rollouts(document).document.items():
        outcome = state.get("outcome") or state.get("reason")
        text = str(state.get("phase", ""))
        lines[f"rollout {name}"] = f"{text}: {outcome}" if outcome else text
    return lines


def not_found(
    what: str, name: str, known: abc.Iterable[str]
) -> command.CommandResult:
    """Return the failure for a name that is not among ``known``."""
    text = f"no {what} {name!r}; known: {', '.join(sorted(known))}"
    return result.Failure(api.ApiError(text))


def _versions(document: Document) -> output.Table:
    rows = tuple(
        (
            str(item["version"]),
            item["accepted_at"],
            f"{item['in_force']} of {item['nodes']} nodes",
        )
        for item in document["versions"][:VERSIONS_SHOWN]
    )
    return output.Table(("VERSION", "ACCEPTED AT", "IN FORCE ON"), rows)


def _zones(document: Document) -> output.Table:
    listed = _zone_nodes(document)
    counted = {item["zone"]: item for item in document["zones"]}
    rows = []
    for zone in sorted({*listed, *counted, *document["zones_out"]}):
        state = "out" if zone in document["zones_out"] else "in"
        item = counted.get(zone)
        versions, lag, lagging = "not counted yet", "", ""
        if item is not None:
            versions = f"{item['oldest']} to {item['latest']}"
            lag = f"{item['lag_s']:.1f} s"
            lagging = ", ".join(item["lagging"])
        nodes = str(listed.get(zone, 0))
        rows.append((zone, state, nodes, versions, lag, lagging))
    return output.Table(ZONE_HEADINGS, tuple(rows))


def _zone_nodes(document: Document) -> collections.Counter[str]:
    return collections.Counter(node["zone"] for node in document["nodes"])
