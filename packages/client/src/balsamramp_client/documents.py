"""Documents: files with resources that operators write."""

import json
import pathlib
import typing

from returns import result

from balsamramp_client import api
from balsamramp_core import clock
from balsamramp_core import resource
from balsamramp_core import resources

__all__ = ["read_resources"]

FIELD = "resources"


def read_resources(
    path: pathlib.Path, time: clock.Clock
) -> result.Result[list[resource.Resource], api.ApiError]:
    """Return the resources of the JSON file at ``path``.

    The file holds ``{"resources": [...]}``. The failure names every
    fault in the file, one a line. A zone's ``since`` is now, if it is not
    given.
    """
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        text = f"{path}: cannot be read: {error}"
        return result.Failure(api.ApiError(text, api.ErrorKind.USAGE))
    except ValueError as error:
        return result.Failure(api.ApiError(f"{path}: not JSON: {error}"))
    listed = document.get(FIELD) if isinstance(document, dict) else None
    if not isinstance(listed, list) or len(document) != 1:
        text = f'{path}: expected {{"{FIELD}": [...]}} and nothing else'
        return result.Failure(api.ApiError(text))
    found, problems = _decode(listed, time)
    if problems:
        text = "\n".join(f"{path}: {problem}" for problem in problems)
        return result.Failure(api.ApiError(text))
    return result.Success(found)


def _decode(
    listed: list[typing.Any], time: clock.Clock
) -> tuple[list[resource.Resource], list[str]]:
    found: dict[resource.ResourceKey, resource.Resource] = {}
    problems = []
    for number, described in enumerate(listed, start=1):
        if not isinstance(described, dict):
            problems.append(f"resource {number}: not a JSON object")
            continue
        decoded = resources.decode(_stamped(described, time))
        if isinstance(decoded, result.Failure):
            problems.append(f"resource {number}: {decoded.failure()}")
            continue
        item = decoded.unwrap()
        if item.key in found:
            problems.append(f"resource {number}: {item.key} is there twice")
            continue
        found[item.key] = item
    return list(found.values()), problems


def _stamped(
    described: dict[str, typing.Any], time: clock.Clock
) -> dict[str, typing.Any]:
    if described.get("kind") != "zone" or "since" in described:
        return described
    return {**described, "since": time.now().isoformat()}
