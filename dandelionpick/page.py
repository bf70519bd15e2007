"""Renders the read-only status page of an instance."""

import functools
import html
from typing import Any

from dandelionpick import operator_messages as operator
from dandelionpick import peer_messages

REFRESH_S = 5
STYLE = (
    "body{font-family:sans-serif;margin:2em}"
    "table{border-collapse:collapse}"
    "td,th{border:1px solid #bbb;padding:.3em .6em;text-align:left}"
)


def render(reply: operator.Status | peer_messages.Refused) -> str:
    """Renders the reply to ReadStatus as an HTML page."""
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f'<meta http-equiv="refresh" content="{REFRESH_S}">'
        f"<title>dandelionpick</title><style>{STYLE}</style></head>"
        f"<body>{_render_content(reply)}</body></html>\n"
    )


@functools.singledispatch
def _render_content(reply: Any) -> str:
    raise TypeError(f"no page for {type(reply).__name__}")


@_render_content.register
def _(reply: peer_messages.Refused) -> str:
    problem = reply.problem
    return (
        f"<h1>No status: {_escape(problem.kind.value)}</h1>"
        f"<p>{_escape(problem.message)} {_escape(problem.remedy)}</p>"
    )


@_render_content.register
def _(reply: operator.Status) -> str:
    summary_rows = [
        ("failure domain", reply.failure_domain),
        ("configuration revision", reply.revision),
        ("preferred instance", reply.preferred),
        ("leaving", "yes" if reply.leaving else "no"),
        ("requests queued", reply.requests_queued),
        ("requests running", reply.requests_running),
        ("jobs queued", reply.jobs_queued),
        ("jobs running", reply.jobs_running),
    ]
    member_rows = [
        (m.id, m.role, m.failure_domain, m.state, m.revision or "")
        for m in reply.members
    ]
    headers = ("id", "role", "failure domain", "state", "revision")
    return (
        f"<h1>{_escape(reply.instance)}</h1>{_render_table(summary_rows)}"
        f"<h2>Instances and targets</h2>{_render_table(member_rows, headers)}"
        '<p><a href="/metrics">metrics</a> <a href="/v1/tree">tree</a></p>'
    )


def _render_table(rows: list[tuple], headers: tuple[str, ...] = ()) -> str:
    head = "".join(f"<th>{_escape(name)}</th>" for name in headers)
    lines = [f"<tr>{head}</tr>"] if headers else []
    for row in rows:
        cells = "".join(f"<td>{_escape(value)}</td>" for value in row)
        lines.append(f"<tr>{cells}</tr>")
    return f"<table>{''.join(lines)}</table>"


def _escape(value: Any) -> str:
    return html.escape(str(value))
