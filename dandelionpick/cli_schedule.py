"""The command that runs a scheduling instance on the users' platform."""

import asyncio
from collections.abc import Mapping

from absl import logging
from absl.logging import converter
from cleo.commands import command
from cleo.io.outputs import output
from returns import pipeline

from dandelionpick import cli_options
from dandelionpick import structured_logs
from dandelionpick.batch import settings as settings_lib
from dandelionpick.batch import wiring
from dandelionpick.status import ExitStatus


class ScheduleCommand(command.Command):
    """Runs an instance that schedules jobs on the users' platform."""

    name = "schedule"
    description = "Runs an instance on the platform until it is stopped."
    arguments = [cli_options.PLATFORM_SETTINGS]

    def __init__(self, env: Mapping[str, str]):
        super().__init__()
        self.env = env

    def handle(self) -> int:
        """Loads the settings and runs the instance."""
        path = self.argument("settings") or self.env.get(
            cli_options.SETTINGS_ENV_VAR, ""
        )
        loaded = settings_lib.load(path, self.env)
        if not pipeline.is_successful(loaded):
            for error in loaded.failure():
                self.io.error_output.write_line(
                    str(error), type=output.Type.RAW
                )
            return ExitStatus.INVALID_SETTINGS
        settings = loaded.unwrap()
        level = cli_options.LOG_LEVELS[settings.log.level]
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
                type=output.Type.RAW,
            )
            return ExitStatus.FAILURE
