"""The command line: its commands and how they are put together."""

import asyncio
from collections.abc import Mapping

from absl import logging
from absl.logging import converter
from cleo import application
from cleo.commands import command
from returns import pipeline

import dandelionpick
from dandelionpick import cli_client
from dandelionpick import cli_jobs
from dandelionpick import cli_options
from dandelionpick import cli_requests
from dandelionpick import cli_status
from dandelionpick import cli_tree
from dandelionpick import server
from dandelionpick import settings as settings_lib
from dandelionpick import structured_logs
from dandelionpick import wiring
from dandelionpick.batch import settings as batch_settings
from dandelionpick.status import ExitStatus

LOG_LEVELS = {
    settings_lib.LogLevel.DEBUG: logging.DEBUG,
    settings_lib.LogLevel.INFO: logging.INFO,
    settings_lib.LogLevel.WARNING: logging.WARNING,
    settings_lib.LogLevel.ERROR: logging.ERROR,
}


class SettingsCommand(command.Command):
    """A command that reads a settings file."""

    arguments = [cli_options.SETTINGS]

    def load(self) -> settings_lib.Settings | None:
        """Returns the settings, or None after it printed what is wrong."""
        loaded = settings_lib.load(self.argument("settings"))
        if pipeline.is_successful(loaded):
            return loaded.unwrap()
        for error in loaded.failure():
            self.io.error_output.write_line(str(error), type=cli_client.RAW)
        return None


class RunCommand(SettingsCommand):
    """Runs an entry instance."""

    name = "run"
    description = "Runs an entry instance until it is stopped."

    def handle(self) -> int:
        """Loads the settings and serves."""
        settings = self.load()
        if settings is None:
            return ExitStatus.INVALID_SETTINGS
        logging.set_verbosity(LOG_LEVELS[settings.log.level])
        try:
            listener = server.bind(settings.instance.listen)
        except (OSError, OverflowError) as error:
            message = (
                f"{settings.instance.listen}: cannot listen ({error}); give"
                " a free port of this host in [instance] listen"
            )
            self.io.error_output.write_line(message, type=cli_client.RAW)
            return ExitStatus.FAILURE
        return asyncio.run(wiring.run_instance(settings, listener))


class CheckSettingsCommand(SettingsCommand):
    """Checks a settings file."""

    name = "check-settings"
    description = "Checks a settings file without starting an instance."

    def handle(self) -> int:
        """Loads the settings and reports what is wrong."""
        if self.load() is None:
            return ExitStatus.INVALID_SETTINGS
        self.line("The settings are valid.")
        return ExitStatus.OK


class ScheduleCommand(command.Command):
    """Runs an instance that schedules jobs on the users' platform."""

    name = "schedule"
    description = "Runs an instance on the platform until it is stopped."
    arguments = [cli_options.PLATFORM_SETTINGS]

    def __init__(self, env: Mapping[str, str]):
        super().__init__()
        self.env = env

    def handle(self) -> int:
        """Loads the settings and serves."""
        path = self.argument("settings") or self.env.get(
            cli_options.SETTINGS_VARIABLE, ""
        )
        loaded = batch_settings.load(path)
        if not pipeline.is_successful(loaded):
            for error in loaded.failure():
                self.io.error_output.write_line(str(error), type=cli_client.RAW)
            return ExitStatus.INVALID_SETTINGS
        settings = loaded.unwrap()
        level = LOG_LEVELS[settings.log.level]
        logging.set_verbosity(level)
        structured_logs.install(
            settings.instance.name, converter.absl_to_standard(level)
        )
        try:
            return asyncio.run(wiring.run_scheduler(settings))
        except (OSError, OverflowError) as error:
            self.io.error_output.write_line(
                f"{path}: cannot listen ({error}); give free ports of this"
                " host in [listen]",
                type=cli_client.RAW,
            )
            return ExitStatus.FAILURE


COMMANDS = (RunCommand, CheckSettingsCommand)
ENV_COMMANDS = (
    ScheduleCommand,
    cli_requests.SubmitCommand,
    cli_requests.FetchCommand,
    cli_requests.CancelCommand,
    cli_jobs.SubmitCommand,
    cli_jobs.FollowCommand,
    cli_jobs.CancelCommand,
    cli_tree.ShowCommand,
    cli_tree.GetCommand,
    cli_tree.SetCommand,
    cli_tree.EditCommand,
    cli_tree.DiffCommand,
    cli_status.StatusCommand,
)


def build(env: Mapping[str, str]) -> application.Application:
    """Builds the command line application."""
    app = application.Application("dandelionpick", dandelionpick.__version__)
    app.auto_exits(False)
    # core turns errors into exit statuses.
    app.catch_exceptions(False)
    for command_type in COMMANDS:
        app.add(command_type())
    for command_type in ENV_COMMANDS:
        app.add(command_type(env))
    return app
