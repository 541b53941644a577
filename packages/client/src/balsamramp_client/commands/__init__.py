"""The commands of the client, looked up by name."""

from balsamramp_client import command
from balsamramp_client.commands import apply
from balsamramp_client.commands import label
from balsamramp_client.commands import rollout
from balsamramp_client.commands import views
from balsamramp_client.commands import zone

__all__ = ["COMMANDS"]

COMMANDS: dict[str, command.Command] = {
    item.name: item
    for item in (
        apply.Apply(),
        label.Label(),
        rollout.Rollout(),
        views.Dump(),
        views.Get(),
        views.Names(),
        views.Status(),
        zone.Zone(),
    )
}
