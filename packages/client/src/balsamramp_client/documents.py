"""Reader for the JSON resource files that operators write."""

import json
import pathlib
import typing

from returns import result

from balsamramp_client import api
from balsamramp_core import clock
from balsamramp_core import resource
from balsamramp_core import resources

__all__ = ["read_resources"]

ROOT_KEY = "resources"


def read_resources(
    path: pathlib.Path, time: clock.Clock
) -> result.Result[list[resource.Resource], api.ApiError]:
    """Return the resources of the JSON file at ``path``.

    The file contains ``{"resources": [...]}``. The failure lists every
    error in the file, one per line. A zone without ``since`` gets the
    current time.
    """
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        text = f"{path}: cannot be read: {error}"
        return result.Failure(api.ApiError(text, api.ErrorKind.USAGE))
    except ValueError as error:
        return result.Failure(api.ApiError(f"{path}: not JSON: {error}"))
    listed = document.get(ROOT_KEY) if isinstance(document, dict) else None
    if not isinstance(listed, list) or len(document) != 1:
        text = f'{path}: expected {{"{ROOT_KEY}": [...]}} and nothing else'
        return result.Failure(api.ApiError(text))
    items, problems = _decode_all(listed, time)
    if problems:
        text = "\n".join(f"{path}: {problem}" for problem in problems)
        return result.Failure(api.ApiError(text))
    return result.Success(items)


def _decode_all(
    listed: list[typing.Any], time: clock.Clock
) -> tuple[list[resource.Resource], list[str]]:
    items: dict[resource.ResourceKey, resource.Resource] = {}
    problems = []
    for number, encoded in enumerate(listed, start=1):
        if not isinstance(encoded, dict):
            problems.append(f"resource {number}: not a JSON object")
            continue
        decoded = resources.decode(_with_since(encoded, time))
        if isinstance(decoded, result.Failure):
            problems.append(f"resource {number}: {decoded.failure()}")
            continue
        item = decoded.unwrap()
        if item.key in items:
            problems.append(f"resource {number}: {item.key} is listed twice")
            continue
        items[item.key] = item
    return list(items.values()), problems


def _with_since(
    encoded: dict[str, typing.Any], time: clock.Clock
) -> dict[str, typing.Any]:
    if encoded.get("kind") != "zone" or "since" in encoded:
        return encoded
    return {**encoded, "since": time.now().isoformat()}
