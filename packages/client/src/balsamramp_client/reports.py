"""Human-readable reports of the status of a node."""

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
VERSIONS_SHOWN_MAX = 5

Document = dict[str, typing.Any]


def status(document: Document) -> output.Output:
    """Return the status report: versions, zones, rollouts and notes."""
    log_status = document["configuration"]
    notes = [
        f"node {document['node']} has version {document['version']} in force",
        f"platform's log: {log_status['log']}, "
        f"at version {log_status['log_version']}",
        f"zones out: {', '.join(document['zones_out']) or 'none'}",
    ]
    if log_status["refused"]:
        notes.append(f"last change refused: {log_status['refused']}")
    if not log_status["in_service"]:
        notes.append("this node is not in service yet: no version is trusted")
    tables = (
        _version_table(document),
        _zone_table(document),
        rollouts(document).tables[0],
    )
    return output.Output(document, tables, tuple(notes))


def rollouts(document: Document) -> output.Output:
    """Return the rollouts of a status, keyed by rollout name."""
    listed = {
        state["rollout"]: state for state in document["rollouts"].values()
    }
    rows = []
    for name, state in sorted(listed.items()):
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
    return output.Output(listed, (table,), (f"{len(rows)} rollouts",))


def select_rollout(listed: output.Output, name: str) -> output.Output:
    """Return the output of ``rollouts`` for the rollout ``name`` only."""
    table = listed.tables[0]
    rows = tuple(row for row in table.rows if row[0] == name)
    return output.Output(
        {name: listed.document[name]}, (attrs.evolve(table, rows=rows),)
    )


def state_lines(document: Document) -> dict[str, str]:
    """Return the states that ``watch`` compares, keyed by subject."""
    lines = {"configuration": f"version {document['version']} in force"}
    for zone, count in _nodes_per_zone(document).items():
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
    noun: str, name: str, known: abc.Iterable[str]
) -> command.CommandResult:
    """Return the failure for a ``name`` that is not in ``known``."""
    text = f"no {noun} {name!r}; known: {', '.join(sorted(known))}"
    return result.Failure(api.ApiError(text))


def _version_table(document: Document) -> output.Table:
    rows = tuple(
        (
            str(item["version"]),
            item["accepted_at"],
            f"{item['in_force']} of {item['nodes']} nodes",
        )
        for item in document["versions"][:VERSIONS_SHOWN_MAX]
    )
    return output.Table(("VERSION", "ACCEPTED AT", "IN FORCE ON"), rows)


def _zone_table(document: Document) -> output.Table:
    node_counts = _nodes_per_zone(document)
    zone_versions = {item["zone"]: item for item in document["zones"]}
    rows = []
    for zone in sorted({*node_counts, *zone_versions, *document["zones_out"]}):
        state = "out" if zone in document["zones_out"] else "in"
        item = zone_versions.get(zone)
        versions, lag, lagging = "not counted yet", "", ""
        if item is not None:
            versions = f"{item['oldest']} to {item['latest']}"
            lag = f"{item['lag_s']:.1f} s"
            lagging = ", ".join(item["lagging"])
        nodes = str(node_counts.get(zone, 0))
        rows.append((zone, state, nodes, versions, lag, lagging))
    return output.Table(ZONE_HEADINGS, tuple(rows))


def _nodes_per_zone(document: Document) -> collections.Counter[str]:
    return collections.Counter(node["zone"] for node in document["nodes"])
