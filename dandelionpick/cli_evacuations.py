"""The command that shows the failure domains that are being evacuated."""

import datetime

import msgspec

from dandelionpick import cli_client
from dandelionpick import cli_options
from dandelionpick import client
from dandelionpick.batch import messages
from dandelionpick.batch import peer_api
from dandelionpick.status import ExitStatus

TABLE_HEADERS = ["failure domain", "known since", "runs", "targets"]
OPERATION = client.Operation(
    "POST",
    peer_api.PEER_PATH,
    msgspec.json.Decoder(messages.Evacuations | messages.NotScheduler),
    has_body=True,
)


class EvacuationsCommand(cli_client.ClientCommand):
    """Shows the failure domains that are being evacuated."""

    name = "evacuations"
    description = (
        "Shows the failure domains that are being evacuated, and what still"
        " runs there."
    )
    options = cli_options.PEER_OPTIONS

    def handle(self) -> int:
        """Requests the evacuations and prints them as a table."""
        result = client.send_once(
            self.server_address(), messages.ReadEvacuations(), OPERATION
        )
        reply = result.value_or(None)
        if isinstance(reply, messages.NotScheduler):
            self.write_error(
                "No scheduler is ready, or this instance can't reach it."
            )
            self.write_error("Try again, or use another instance.")
            return ExitStatus.REFUSED
        if not isinstance(reply, messages.Evacuations) or self.option("json"):
            return self.report(result)
        if not reply.watched:
            self.write_error(
                "Evacuations are not followed: [bounds] evacuate_ms is not set."
            )
        if reply.is_outdated:
            self.write_error(
                "The store has not told about evacuations for too long; nothing"
                " is started."
            )
        self.write(
            f"{reply.scheduler}: {len(reply.evacuations)} failure domains are"
            " being evacuated"
        )
        if reply.evacuations:
            rows = [table_row(view) for view in reply.evacuations]
            self.render_table(TABLE_HEADERS, rows)
        return ExitStatus.OK


def table_row(view: messages.EvacuationView) -> list[str]:
    """Returns the table row of an evacuation."""
    since = datetime.datetime.fromtimestamp(view.since_ms / 1_000, datetime.UTC)
    return [
        view.domain,
        since.isoformat(" ", "seconds"),
        str(sum(view.runs.values())),
        str(view.targets),
    ]
