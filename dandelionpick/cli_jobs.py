"""Commands for jobs."""

import time

from returns import pipeline

from dandelionpick import caller_messages as caller
from dandelionpick import cli_client
from dandelionpick import cli_options
from dandelionpick import cli_requests
from dandelionpick import ids
from dandelionpick import kinds

POLL_S = 1.0
# An instance that is replaced is back behind its balancer within seconds.
MAX_FAILED_POLLS = 5

UNFINISHED = frozenset(
    {
        kinds.JobState.QUEUED,
        kinds.JobState.PLACING,
        kinds.JobState.RUNNING,
    }
)


class SubmitCommand(cli_client.ClientCommand):
    """Submits a job."""

    name = "job submit"
    description = "Submits a job, a gang of equal tasks."
    options = cli_options.JOB_OPTIONS

    def handle(self) -> int:
        """Sends the job; it is accepted when the command returns OK."""
        message = caller.SubmitJob(
            organisation=self.required("organisation"),
            job_class=self.required("class"),
            tasks=self.number("tasks", int),
            accelerators=self.number("accelerators", int),
            cores=self.number("cores", int),
            memory_gb=self.number("memory-gb", int),
            run_s=self.number("run-s", float),
            payload=self.option("payload"),
            attempt=self.number("attempt", int),
            key=self.key_or_new("key"),
        )
        result = self.send(message)
        accepted = getattr(result.value_or(None), "state", None) in UNFINISHED
        if accepted and self.option("follow"):
            return follow(self, message.organisation, message.key)
        return self.report(result)


class FollowCommand(cli_client.ClientCommand):
    """Follows a job."""

    name = "job follow"
    description = "Prints the states of a job until it has ended."
    arguments = [cli_options.KEY]
    options = cli_options.KEY_OPTIONS

    def handle(self) -> int:
        """Polls the job until it has ended."""
        return follow(self, self.required("organisation"), self.argument("key"))


class CancelCommand(cli_client.ClientCommand):
    """Cancels a job."""

    name = "job cancel"
    description = "Cancels a job; a running gang is stopped whole."
    arguments = [cli_options.KEY]
    options = cli_options.KEY_OPTIONS

    def handle(self) -> int:
        """Asks for the cancellation."""
        message = caller.CancelJob(
            organisation=self.required("organisation"),
            key=self.argument("key"),
        )
        result = self.send(message)
        status = self.report(result)
        return cli_requests.status_of_cancellation(
            result.value_or(None), status
        )


def follow(
    command: cli_client.ClientCommand,
    organisation: ids.OrganisationId,
    key: ids.RequestKey,
) -> int:
    """Polls a job until it has ended and reports each change of state."""
    message = caller.FetchJob(organisation=organisation, key=key)
    last_state = None
    failed_polls = 0
    while True:
        result = command.send(message)
        state = getattr(result.value_or(None), "state", None)
        failed_polls = 0 if pipeline.is_successful(result) else failed_polls + 1
        retried = 0 < failed_polls < MAX_FAILED_POLLS
        if not retried and state not in UNFINISHED:
            return command.report(result)
        if state not in (None, last_state):
            command.write_error(f"state: {state.value}")
            last_state = state
        time.sleep(POLL_S)
