"""Base class and helpers of the commands that call an entry instance."""

import functools
import secrets
import time
from collections.abc import Mapping
from typing import Any

import msgspec
from cleo.commands import command
from cleo.exceptions import CleoUserError
from cleo.io.outputs.output import Type
from returns import pipeline
from returns.result import Result

from dandelionpick import caller_messages as caller
from dandelionpick import cli_options
from dandelionpick import client
from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import operator_messages as operator
from dandelionpick import peer_messages as peer
from dandelionpick import wire
from dandelionpick.status import ExitStatus

KEY_RANDOM_BITS = 80
RAW_OUTPUT = Type.RAW

EXIT_STATUS_BY_FAILURE = {
    client.ClientFailureKind.UNREACHABLE: ExitStatus.UNREACHABLE,
    client.ClientFailureKind.REPLY_LOST: ExitStatus.OUTCOME_UNKNOWN,
}
EXIT_STATUS_BY_OUTCOME = {
    kinds.Outcome.PENDING: ExitStatus.OK,
    kinds.Outcome.COMPLETED: ExitStatus.OK,
    kinds.Outcome.NOT_RUN: ExitStatus.REFUSED,
    kinds.Outcome.UNKNOWN: ExitStatus.OUTCOME_UNKNOWN,
}
# Problems that leave it unknown whether the refused message took effect.
UNKNOWN_OUTCOME_KINDS = frozenset({errors.ProblemKind.INTERNAL})


class UsageError(CleoUserError):
    """An argument is missing or invalid; the message names it and says why."""


class ClientCommand(command.Command):
    """A command that sends messages to an entry instance.

    Attributes:
        env: the injected environment variables.
    """

    def __init__(self, env: Mapping[str, str]):
        self.env = env
        super().__init__()

    def server_address(self) -> str:
        """Returns the address of the entry instance to call.

        Raises:
            UsageError: if neither the option nor the variable is set.
        """
        server = self.option("server") or self.env.get(
            cli_options.SERVER_ENV_VAR
        )
        if not server:
            raise UsageError(
                "No server is given. Use --server or set"
                f" {cli_options.SERVER_ENV_VAR} to the address of an entry"
                " instance, as in 10.0.0.1:8080."
            )
        return server

    def required_option(self, option: str) -> str:
        """Returns the value of an option that must be given.

        Raises:
            UsageError: if the option is missing or empty.
        """
        value = self.option(option)
        if not value:
            raise UsageError(f"Option --{option} is missing.")
        return value

    def number_option(self, option: str, number_type: type) -> Any:
        """Returns the value of an option as a number.

        Raises:
            UsageError: if the value is not a number.
        """
        text = self.option(option)
        try:
            return number_type(text)
        except ValueError:
            raise UsageError(
                f'Option --{option} is "{text}"; give a number.'
            ) from None

    def key_or_generate(self, option: str) -> str:
        """Returns the given key, or a generated one, and prints it.

        The key is printed before anything is sent, so that the outcome can be
        looked up even if this program is interrupted.
        """
        key = self.option(option) or generate_key()
        self.line_error(f"{option}: {key}")
        return key

    def send(self, message: Any) -> Result[Any, client.ClientFailure]:
        """Sends a message to the server."""
        return client.send_once(self.server_address(), message)

    def send_and_report(self, message: Any) -> ExitStatus:
        """Sends a message, prints the reply and returns the exit status."""
        return self.report(self.send(message))

    def report(self, result: Result[Any, client.ClientFailure]) -> ExitStatus:
        """Prints a result and returns the exit status."""
        if not pipeline.is_successful(result):
            failure = result.failure()
            self.write_error(failure.message)
            return EXIT_STATUS_BY_FAILURE[failure.kind]
        reply = result.unwrap()
        if self.option("json"):
            self.write(format_json(reply))
        else:
            print_reply(reply, self)
        return exit_status_of(reply)

    def write(self, text: str) -> None:
        """Prints text verbatim; cleo would parse <...> as a style tag."""
        self.io.output.write_line(text, type=RAW_OUTPUT)

    def write_error(self, text: str) -> None:
        """Prints text verbatim on the error output."""
        self.io.error_output.write_line(text, type=RAW_OUTPUT)

    def write_problem(self, problem: errors.Problem | None) -> None:
        """Prints a problem on the error output."""
        if problem is not None:
            self.write_error(f"{problem.kind.value}: {problem.message}")
            self.write_error(problem.remedy)


def generate_key() -> str:
    """Generates a UUIDv7 key."""
    return ids.new_request_key(
        time.time_ns() // 1_000_000, secrets.randbits(KEY_RANDOM_BITS)
    )


def format_json(message: Any) -> str:
    """Returns a message as indented JSON."""
    return msgspec.json.format(wire.encode(message), indent=2).decode()


@functools.singledispatch
def exit_status_of(reply: Any) -> ExitStatus:
    """Returns the exit status for a reply."""
    return ExitStatus.OK


@exit_status_of.register
def _(reply: caller.Answer) -> ExitStatus:
    return EXIT_STATUS_BY_OUTCOME[reply.outcome]


@exit_status_of.register
def _(reply: caller.JobStatus) -> ExitStatus:
    if reply.state is kinds.JobState.FAILED:
        return ExitStatus.FAILURE
    return EXIT_STATUS_BY_OUTCOME[reply.outcome]


@exit_status_of.register
def _(reply: operator.EditRefused) -> ExitStatus:
    return _exit_status_of_problem(reply.problem)


@exit_status_of.register
def _(reply: peer.Refused) -> ExitStatus:
    return _exit_status_of_problem(reply.problem)


def _exit_status_of_problem(problem: errors.Problem) -> ExitStatus:
    if problem.kind in UNKNOWN_OUTCOME_KINDS:
        return ExitStatus.OUTCOME_UNKNOWN
    return ExitStatus.REFUSED


@functools.singledispatch
def print_reply(reply: Any, to: ClientCommand) -> None:
    """Prints a reply in human-readable form."""
    to.write(format_json(reply))


@print_reply.register
def _(reply: peer.Refused, to: ClientCommand) -> None:
    to.write_problem(reply.problem)


@print_reply.register
def _(reply: caller.Answer, to: ClientCommand) -> None:
    to.write_error(f"outcome: {reply.outcome.value}")
    to.write_problem(reply.problem)
    if reply.body:
        to.write(reply.body.decode(errors="backslashreplace"))


@print_reply.register
def _(reply: caller.JobStatus, to: ClientCommand) -> None:
    place = f" in {reply.failure_domain}" if reply.failure_domain else ""
    run = f", run {reply.run}" if reply.run else ""
    to.write_error(
        f"outcome: {reply.outcome.value}, state: {reply.state.value}"
        f"{place}{run}"
    )
    to.write_problem(reply.problem)
    for result in reply.results:
        to.write(result)


@print_reply.register
def _(reply: operator.EditAccepted, to: ClientCommand) -> None:
    places = ", ".join(reply.in_force) or "none reported yet"
    to.write(f"revision: {reply.revision}")
    to.write(f"in force in: {places}")


@print_reply.register
def _(reply: operator.EditRefused, to: ClientCommand) -> None:
    to.write_problem(reply.problem)
    if reply.revision:
        to.write_error(f"current revision: {reply.revision}")
