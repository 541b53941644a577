"""Registry of the client's commands by name."""

from balsamramp_client import command
from balsamramp_client.commands import alias
from balsamramp_client.commands import apply
from balsamramp_client.commands import delete
from balsamramp_client.commands import get
from balsamramp_client.commands import key
from balsamramp_client.commands import label
from balsamramp_client.commands import names
from balsamramp_client.commands import rollout
from balsamramp_client.commands import route
from balsamramp_client.commands import status
from balsamramp_client.commands import watch
from balsamramp_client.commands import zone

__all__ = ["COMMANDS"]

COMMANDS: dict[str, command.Command] = {
    item.name: item
    for item in (
        alias.Alias(),
        apply.Apply(),
        apply.Diff(),
        apply.Validate(),
        delete.Delete(),
        get.Get(),
        key.Key(),
        label.Label(),
        names.Names(),
        rollout.Rollout(),
        route.Route(),
        route.Selector(),
        status.Dump(),
        status.Status(),
        watch.Watch(),
        zone.Zone(),
    )
}
