"""The operators' page: settings, commands, counters and exit codes."""

import pathlib
import re

from balsamramp_client import commands
from balsamramp_client import exit_codes
from balsamramp_testing import settings_page

ROOT = pathlib.Path(__file__).parents[3]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
METRIC_PATTERN = re.compile(
    r"(?:metrics|counters)\.(?:count|set|observe)\(\s*\"([a-z_]+)\""
)


def test_page_holds_every_setting_as_it_is() -> None:
    for begin, options in settings_page.TABLES.items():
        table = PAGE.partition(begin)[2].partition(settings_page.END)[0]
        assert table == settings_page.render(options)


def test_page_holds_every_command_and_exit_code() -> None:
    for name, item in commands.COMMANDS.items():
        assert f"| `{name}` | `balsamramp {name} " in PAGE.replace(
            f"`balsamramp {name}`", f"`balsamramp {name} `"
        )
        assert item.example.startswith(name)
    for code in (exit_codes.OK, *exit_codes.CODES.values()):
        assert f"\n| {code} | " in PAGE


def test_page_holds_every_counter() -> None:
    found = set()
    for path in (ROOT / "packages" / "node" / "src").rglob("*.py"):
        found |= set(METRIC_PATTERN.findall(path.read_text("utf-8")))
    assert len(found) > 20
    missing = [name for name in sorted(found) if f"`{name}" not in PAGE]
    assert missing == []
