"""The command line: its commands and how they are put together."""

import functools
import importlib
from collections.abc import Mapping
from typing import NamedTuple

from cleo import application
from cleo.commands import command
from cleo.loaders import factory_command_loader

import dandelionpick


class Entry(NamedTuple):
    """Where a command is implemented.

    Attributes:
        takes_env: it reads environment variables.
    """

    module: str
    name: str
    takes_env: bool = True


# A command's module is imported when the command is used: an instance that was
# restarted serves sooner, and keeps less in memory, without the others.
COMMANDS = {
    "run": Entry("cli_run", "RunCommand", False),
    "check-settings": Entry("cli_run", "CheckSettingsCommand", False),
    "schedule": Entry("cli_schedule", "ScheduleCommand"),
    "explain": Entry("cli_explain", "ExplainCommand", False),
    "request submit": Entry("cli_requests", "SubmitCommand"),
    "request fetch": Entry("cli_requests", "FetchCommand"),
    "request cancel": Entry("cli_requests", "CancelCommand"),
    "job submit": Entry("cli_jobs", "SubmitCommand"),
    "job follow": Entry("cli_jobs", "FollowCommand"),
    "job cancel": Entry("cli_jobs", "CancelCommand"),
    "tree show": Entry("cli_tree", "ShowCommand"),
    "tree get": Entry("cli_tree", "GetCommand"),
    "tree set": Entry("cli_tree", "SetCommand"),
    "tree edit": Entry("cli_tree", "EditCommand"),
    "tree diff": Entry("cli_tree", "DiffCommand"),
    "status": Entry("cli_status", "StatusCommand"),
}


def _create(entry: Entry, env: Mapping[str, str]) -> command.Command:
    module = importlib.import_module(f"dandelionpick.{entry.module}")
    command_type = getattr(module, entry.name)
    return command_type(env) if entry.takes_env else command_type()


def build(env: Mapping[str, str]) -> application.Application:
    """Builds the command line application."""
    app = application.Application("dandelionpick", dandelionpick.__version__)
    app.auto_exits(False)
    # core turns errors into exit statuses.
    app.catch_exceptions(False)
    app.set_command_loader(
        factory_command_loader.FactoryCommandLoader(
            {
                name: functools.partial(_create, entry, env)
                for name, entry in COMMANDS.items()
            }
        )
    )
    return app
