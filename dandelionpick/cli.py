"""The command line: commands and options as data."""

import asyncio
from collections.abc import Mapping

from absl import logging
from cleo import application
from cleo import helpers
from cleo.commands import command
from returns import pipeline

import dandelionpick
from dandelionpick import settings as settings_lib
from dandelionpick import wiring
from dandelionpick.status import ExitStatus

LOG_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
SETTINGS_ARGUMENT = helpers.argument("settings", "Path of the settings file.")


class RunCommand(command.Command):
    """Runs an entry instance."""

    name = "run"
    description = "Runs an entry instance until it is stopped."
    arguments = [SETTINGS_ARGUMENT]

    def handle(self) -> int:
        """Loads the settings and serves."""
        loaded = settings_lib.load(self.argument("settings"))
        if not pipeline.is_successful(loaded):
            self.line_error(loaded.failure())
            return ExitStatus.INVALID_SETTINGS
        settings = loaded.unwrap()
        logging.set_verbosity(LOG_LEVELS[settings.log.level])
        asyncio.run(wiring.run_instance(settings))
        return ExitStatus.OK


class CheckSettingsCommand(command.Command):
    """Checks a settings file."""

    name = "check-settings"
    description = "Checks a settings file without starting an instance."
    arguments = [SETTINGS_ARGUMENT]

    def handle(self) -> int:
        """Loads the settings and reports what is wrong."""
        loaded = settings_lib.load(self.argument("settings"))
        if not pipeline.is_successful(loaded):
            self.line_error(loaded.failure())
            return ExitStatus.INVALID_SETTINGS
        self.line("The settings are valid.")
        return ExitStatus.OK


COMMANDS = (RunCommand, CheckSettingsCommand)


def build(env: Mapping[str, str]) -> application.Application:
    """Builds the command line application."""
    app = application.Application("dandelionpick", dandelionpick.__version__)
    app.auto_exits(False)
    for command_type in COMMANDS:
        app.add(command_type())
    return app
