"""Settings page: writes the table of settings into the operators' page."""

from collections import abc
import pathlib
import sys

from balsamramp_core import settings
from balsamramp_node.process import options
from balsamramp_node.process import sidecar_options

__all__ = ["TABLES", "main", "render"]

END = "<!-- end of settings -->\n"
# The options of each program, by the mark before their table.
TABLES: abc.Mapping[str, abc.Sequence[settings.Option]] = {
    "<!-- settings: written by make settings-doc -->\n": options.OPTIONS,
    "<!-- settings of a sidecar: written by make settings-doc -->\n": (
        sidecar_options.OPTIONS
    ),
}
REQUIRED = "required"


def render(table: abc.Sequence[settings.Option]) -> str:
    """Return every setting of ``table`` as a row of a Markdown table."""
    lines = [
        "| setting | values | default | what it is |",
        "|---|---|---|---|",
    ]
    for option in table:
        default = REQUIRED if option.default is None else option.default
        lines.append(
            f"| `[{option.section}] {option.name}` "
            f"| {settings.describe(option)} | {default or 'none'} "
            f"| {option.doc} |"
        )
    return "\n".join(lines) + "\n"


def main(arguments: list[str]) -> int:
    """Replace the tables in the page that is named."""
    page = pathlib.Path(arguments[0])
    text = page.read_text(encoding="utf-8")
    for begin, table in TABLES.items():
        before, _, rest = text.partition(begin)
        _, _, after = rest.partition(END)
        text = before + begin + render(table) + END + after
    page.write_text(text, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
