"""Local checks for flake8, beside those of hacking."""

import ast
from collections import abc
import importlib.util
import typing

__all__ = ["ModuleImports"]

Finding = tuple[int, int, str, type]


class ModuleImports:
    """B301: a ``from`` import must import a module, not a name."""

    name = "module-imports"
    version = "1"

    def __init__(self, tree: ast.AST) -> None:
        self._tree = tree

    def run(self) -> abc.Iterator[Finding]:
        """Yield one finding for each imported name."""
        for node in ast.walk(self._tree):
            if not isinstance(node, ast.ImportFrom) or not node.module:
                continue
            if node.module == "__future__":
                continue
            for item in node.names:
                if _is_module(f"{node.module}.{item.name}"):
                    continue
                text = f"B301 {item.name} of {node.module} is not a module"
                yield node.lineno, node.col_offset, text, type(self)


def _is_module(name: str) -> bool:
    try:
        found: typing.Any = importlib.util.find_spec(name)
    except (ImportError, ValueError):
        return False
    return found is not None
