"""The command that shows an instance's view of the system."""

from dandelionpick import cli_client
from dandelionpick import cli_options
from dandelionpick import operator_messages as operator
from dandelionpick.status import ExitStatus

TABLE_HEADERS = ["id", "role", "failure domain", "state", "revision"]


class StatusCommand(cli_client.ClientCommand):
    """Shows an instance's view of the system."""

    name = "status"
    description = "Shows instances, targets and load as an instance sees them."
    options = cli_options.CLIENT_OPTIONS

    def handle(self) -> int:
        """Requests the status and prints it as a table."""
        result = self.send(operator.ReadStatus())
        reply = result.value_or(None)
        if not isinstance(reply, operator.Status) or self.option("json"):
            return self.report(result)
        leaving = ", leaving" if reply.leaving else ""
        self.write(
            f"{reply.instance} in {reply.failure_domain}, revision"
            f" {reply.revision}, preferred {reply.preferred}{leaving}"
        )
        self.write(
            f"requests: {reply.requests_queued} queued,"
            f" {reply.requests_running} running; jobs: {reply.jobs_queued}"
            f" queued, {reply.jobs_running} running"
        )
        self.render_table(
            TABLE_HEADERS, [table_row(member) for member in reply.members]
        )
        return ExitStatus.OK


def table_row(member: operator.MemberStatus) -> list[str]:
    """Returns the table row of a member."""
    return [
        member.id,
        member.role,
        member.failure_domain,
        member.state,
        str(member.revision or ""),
    ]
