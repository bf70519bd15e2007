"""The command-line application and its table of commands."""

import functools
import importlib
from collections.abc import Mapping
from typing import NamedTuple

from cleo import application
from cleo.commands import command
from cleo.loaders import factory_command_loader

import dandelionpick


class CommandSpec(NamedTuple):
    """The class that implements a command.

    Attributes:
        module: module of the package that defines the class.
        class_name: name of the class in that module.
        takes_env: the class is constructed with the environment variables.
    """

    module: str
    class_name: str
    takes_env: bool = True


# A command's module is imported only when the command runs. Without the modules
# of other commands, a restarted instance serves sooner and uses less memory.
COMMANDS = {
    "run": CommandSpec("cli_run", "RunCommand", False),
    "check-settings": CommandSpec("cli_run", "CheckSettingsCommand", False),
    "schedule": CommandSpec("cli_schedule", "ScheduleCommand"),
    "explain": CommandSpec("cli_explain", "ExplainCommand", False),
    "run-times": CommandSpec("cli_run_times", "RunTimesCommand", False),
    "request submit": CommandSpec("cli_requests", "SubmitCommand"),
    "request fetch": CommandSpec("cli_requests", "FetchCommand"),
    "request cancel": CommandSpec("cli_requests", "CancelCommand"),
    "job submit": CommandSpec("cli_jobs", "SubmitCommand"),
    "job follow": CommandSpec("cli_jobs", "FollowCommand"),
    "job cancel": CommandSpec("cli_jobs", "CancelCommand"),
    "tree show": CommandSpec("cli_tree", "ShowCommand"),
    "tree get": CommandSpec("cli_tree", "GetCommand"),
    "tree set": CommandSpec("cli_tree", "SetCommand"),
    "tree edit": CommandSpec("cli_tree", "EditCommand"),
    "tree diff": CommandSpec("cli_tree", "DiffCommand"),
    "evacuations": CommandSpec("cli_evacuations", "EvacuationsCommand"),
    "status": CommandSpec("cli_status", "StatusCommand"),
}


def _create(spec: CommandSpec, env: Mapping[str, str]) -> command.Command:
    module = importlib.import_module(f"dandelionpick.{spec.module}")
    command_type = getattr(module, spec.class_name)
    return command_type(env) if spec.takes_env else command_type()


def build_application(env: Mapping[str, str]) -> application.Application:
    """Builds the command-line application."""
    app = application.Application("dandelionpick", dandelionpick.__version__)
    app.auto_exits(False)
    # core.main converts errors to exit statuses.
    app.catch_exceptions(False)
    app.set_command_loader(
        factory_command_loader.FactoryCommandLoader(
            {
                name: functools.partial(_create, spec, env)
                for name, spec in COMMANDS.items()
            }
        )
    )
    return app
