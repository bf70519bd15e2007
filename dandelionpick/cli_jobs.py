"""Commands for jobs."""

import time

from returns import pipeline

from dandelionpick import caller_messages as caller
from dandelionpick import cli_client
from dandelionpick import cli_options
from dandelionpick import cli_requests
from dandelionpick import ids
from dandelionpick import kinds

POLL_INTERVAL_S = 1.0
# A replaced instance is reachable through its load balancer again within
# seconds, so a few failed polls in a row are tolerated.
MAX_CONSECUTIVE_FAILED_POLLS = 5

UNFINISHED_STATES = frozenset(
    {
        kinds.JobState.QUEUED,
        kinds.JobState.PLACING,
        kinds.JobState.RUNNING,
    }
)


class SubmitCommand(cli_client.ClientCommand):
    """Submits a job."""

    name = "job submit"
    description = "Submits a job, a gang of identical tasks."
    options = cli_options.JOB_OPTIONS

    def handle(self) -> int:
        """Sends the job; exit status OK means that it was accepted."""
        message = caller.SubmitJob(
            organisation=self.required_option("organisation"),
            job_class=self.required_option("class"),
            tasks=self.number_option("tasks", int),
            accelerators=self.number_option("accelerators", int),
            cores=self.number_option("cores", int),
            memory_gb=self.number_option("memory-gb", int),
            run_s=self.number_option("run-s", float),
            payload=self.option("payload"),
            attempt=self.number_option("attempt", int),
            key=self.key_or_generate("key"),
        )
        result = self.send(message)
        accepted = (
            getattr(result.value_or(None), "state", None) in UNFINISHED_STATES
        )
        if accepted and self.option("follow"):
            return follow_job(self, message.organisation, message.key)
        return self.report(result)


class FollowCommand(cli_client.ClientCommand):
    """Follows a job."""

    name = "job follow"
    description = "Prints the state changes of a job until it ends."
    arguments = [cli_options.KEY]
    options = cli_options.KEY_OPTIONS

    def handle(self) -> int:
        """Polls the job until it ends."""
        return follow_job(
            self, self.required_option("organisation"), self.argument("key")
        )


class CancelCommand(cli_client.ClientCommand):
    """Cancels a job."""

    name = "job cancel"
    description = "Cancels a job; all tasks of a running gang are stopped."
    arguments = [cli_options.KEY]
    options = cli_options.KEY_OPTIONS

    def handle(self) -> int:
        """Requests the cancellation."""
        message = caller.CancelJob(
            organisation=self.required_option("organisation"),
            key=self.argument("key"),
        )
        result = self.send(message)
        status = self.report(result)
        return cli_requests.exit_status_of_cancellation(
            result.value_or(None), status
        )


def follow_job(
    command: cli_client.ClientCommand,
    organisation: ids.OrganisationId,
    key: ids.RequestKey,
) -> int:
    """Polls a job until it ends and prints each state change."""
    message = caller.FetchJob(organisation=organisation, key=key)
    last_state = None
    failed_polls = 0
    while True:
        result = command.send(message)
        state = getattr(result.value_or(None), "state", None)
        failed_polls = 0 if pipeline.is_successful(result) else failed_polls + 1
        will_retry = 0 < failed_polls < MAX_CONSECUTIVE_FAILED_POLLS
        if not will_retry and state not in UNFINISHED_STATES:
            return command.report(result)
        if state not in (None, last_state):
            command.write_error(f"state: {state.value}")
            last_state = state
        time.sleep(POLL_INTERVAL_S)
