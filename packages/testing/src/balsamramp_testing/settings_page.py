"""Settings page: writes the table of settings into the operators' page."""

import pathlib
import sys

from balsamramp_core import settings
from balsamramp_node.process import options

__all__ = ["main", "render"]

BEGIN = "<!-- settings: written by make settings-doc -->\n"
END = "<!-- end of settings -->\n"
REQUIRED = "required"


def render() -> str:
    """Return every setting as a row of a Markdown table."""
    lines = [
        "| setting | values | default | what it is |",
        "|---|---|---|---|",
    ]
    for option in options.OPTIONS:
        default = REQUIRED if option.default is None else option.default
        lines.append(
            f"| `[{option.section}] {option.name}` "
            f"| {settings.describe(option)} | {default or 'none'} "
            f"| {option.doc} |"
        )
    return "\n".join(lines) + "\n"


def main(arguments: list[str]) -> int:
    """Replace the table in the page that is named."""
    page = pathlib.Path(arguments[0])
    text = page.read_text(encoding="utf-8")
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    page.write_text(before + BEGIN + render() + END + after, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
