"""Commands that run an entry instance or check its settings."""

import asyncio

from absl import logging
from cleo.commands import command
from returns import pipeline

from dandelionpick import cli_client
from dandelionpick import cli_options
from dandelionpick import server
from dandelionpick import settings as settings_lib
from dandelionpick import wiring
from dandelionpick.status import ExitStatus


class SettingsCommand(command.Command):
    """A command that reads a settings file."""

    arguments = [cli_options.SETTINGS]

    def load_settings(self) -> settings_lib.Settings | None:
        """Returns the settings, or None after printing the errors."""
        loaded = settings_lib.load(self.argument("settings"))
        if pipeline.is_successful(loaded):
            return loaded.unwrap()
        for error in loaded.failure():
            self.io.error_output.write_line(
                str(error), type=cli_client.RAW_OUTPUT
            )
        return None


class RunCommand(SettingsCommand):
    """Runs an entry instance."""

    name = "run"
    description = "Runs an entry instance until it is stopped."

    def handle(self) -> int:
        """Loads the settings and runs the instance."""
        settings = self.load_settings()
        if settings is None:
            return ExitStatus.INVALID_SETTINGS
        logging.set_verbosity(cli_options.LOG_LEVELS[settings.log.level])
        try:
            listener = server.bind(settings.instance.listen)
        except (OSError, OverflowError) as error:
            message = (
                f"{settings.instance.listen}: cannot listen ({error}); give"
                " a free port of this host in [instance] listen"
            )
            self.io.error_output.write_line(message, type=cli_client.RAW_OUTPUT)
            return ExitStatus.FAILURE
        return asyncio.run(wiring.run_instance(settings, listener))


class CheckSettingsCommand(SettingsCommand):
    """Checks a settings file."""

    name = "check-settings"
    description = "Checks a settings file without starting an instance."

    def handle(self) -> int:
        """Loads the settings and prints any errors."""
        if self.load_settings() is None:
            return ExitStatus.INVALID_SETTINGS
        self.line("The settings are valid.")
        return ExitStatus.OK
