"""The statements of the scenario language, looked up by name."""

from balsamramp_testing.scenario import statement
from balsamramp_testing.scenario.statements import expectations
from balsamramp_testing.scenario.statements import faults
from balsamramp_testing.scenario.statements import load
from balsamramp_testing.scenario.statements import operators
from balsamramp_testing.scenario.statements import topology

__all__ = ["STATEMENTS", "StatementNotFoundError", "find"]

MODULES = (topology, operators, faults, load, expectations)
STATEMENTS: dict[str, type[statement.Statement]] = {
    item.name: item for module in MODULES for item in module.STATEMENTS
}


class StatementNotFoundError(LookupError):
    """No statement has the given name."""


def find(name: str) -> type[statement.Statement]:
    """Return the class of the statement called ``name``."""
    found = STATEMENTS.get(name)
    if found is None:
        known = ", ".join(sorted(STATEMENTS))
        raise StatementNotFoundError(f"no statement {name!r}; known: {known}")
    return found
