"""Commands for requests."""

import pathlib
import sys

from dandelionpick import caller_messages as caller
from dandelionpick import cli_client
from dandelionpick import cli_options
from dandelionpick import kinds
from dandelionpick.status import ExitStatus


class SubmitCommand(cli_client.ClientCommand):
    """Submits a request."""

    name = "request submit"
    description = "Submits a request and prints its answer."
    options = cli_options.REQUEST_OPTIONS

    def handle(self) -> int:
        """Sends the request; the body of the answer goes to stdout."""
        message = caller.SubmitRequest(
            organisation=self.required_option("organisation"),
            job_class=self.required_option("class"),
            body=self._body(),
            deadline_s=self.number_option("deadline-s", float),
            attempt=self.number_option("attempt", int),
            wait=not self.option("no-wait"),
            key=self.key_or_generate("key"),
        )
        return self.send_and_report(message)

    def _body(self) -> bytes:
        text = self.option("body")
        path = self.option("body-file")
        if (text is None) == (path is None):
            raise cli_client.UsageError(
                "Give either --body or --body-file, not both."
            )
        return text.encode() if path is None else read_bytes(path)


class FetchCommand(cli_client.ClientCommand):
    """Fetches the answer of a request."""

    name = "request fetch"
    description = "Fetches the answer of an earlier request."
    arguments = [cli_options.KEY]
    options = cli_options.FETCH_OPTIONS

    def handle(self) -> int:
        """Requests the answer."""
        message = caller.FetchAnswer(
            organisation=self.required_option("organisation"),
            key=self.argument("key"),
            wait_s=self.number_option("wait-s", float),
        )
        return self.send_and_report(message)


class CancelCommand(cli_client.ClientCommand):
    """Cancels a request."""

    name = "request cancel"
    description = "Cancels a request and reports whether it ran."
    arguments = [cli_options.KEY]
    options = cli_options.KEY_OPTIONS

    def handle(self) -> int:
        """Requests the cancellation; exit status OK means that nothing ran."""
        message = caller.CancelRequest(
            organisation=self.required_option("organisation"),
            key=self.argument("key"),
        )
        result = self.send(message)
        status = self.report(result)
        return exit_status_of_cancellation(result.value_or(None), status)


def exit_status_of_cancellation(
    reply: object, status: ExitStatus
) -> ExitStatus:
    """Returns the exit status of a cancellation.

    Args:
        reply: the reply, or None if there is none.
        status: the exit status that applies if the reply has no outcome, or
            an unknown one.

    Returns:
        OK only if the work is known never to run.
    """
    outcome = getattr(reply, "outcome", None)
    if outcome is kinds.Outcome.NOT_RUN:
        return ExitStatus.OK
    if outcome is kinds.Outcome.COMPLETED:
        return ExitStatus.REFUSED
    if outcome is kinds.Outcome.PENDING:
        return ExitStatus.OUTCOME_UNKNOWN
    return status


def read_bytes(path: str) -> bytes:
    """Reads a file, or stdin for "-".

    Raises:
        UsageError: if the file cannot be read.
    """
    if path == "-":
        return sys.stdin.buffer.read()
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise cli_client.UsageError(
            f"{path} cannot be read ({error.strerror}); give the path of a"
            " readable file."
        ) from None
