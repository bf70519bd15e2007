"""The read-only status page of an instance."""

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
    """Returns the page for a reply to ReadStatus."""
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f'<meta http-equiv="refresh" content="{REFRESH_S}">'
        f"<title>dandelionpick</title><style>{STYLE}</style></head>"
        f"<body>{_content(reply)}</body></html>\n"
    )


@functools.singledispatch
def _content(reply: Any) -> str:
    raise TypeError(f"no page for {type(reply).__name__}")


@_content.register
def _(reply: peer_messages.Refused) -> str:
    problem = reply.problem
    return (
        f"<h1>No status: {_text(problem.kind.value)}</h1>"
        f"<p>{_text(problem.message)} {_text(problem.remedy)}</p>"
    )


@_content.register
def _(reply: operator.Status) -> str:
    facts = [
        ("failure domain", reply.failure_domain),
        ("configuration revision", reply.revision),
        ("preferred instance", reply.preferred),
        ("leaving", "yes" if reply.leaving else "no"),
        ("requests queued", reply.requests_queued),
        ("requests running", reply.requests_running),
        ("jobs queued", reply.jobs_queued),
        ("jobs running", reply.jobs_running),
    ]
    members = [
        (m.id, m.role, m.failure_domain, m.state, m.revision or "")
        for m in reply.members
    ]
    heads = ("id", "role", "failure domain", "state", "revision")
    return (
        f"<h1>{_text(reply.instance)}</h1>{_table(facts)}"
        f"<h2>Instances and targets</h2>{_table(members, heads)}"
        '<p><a href="/metrics">metrics</a> <a href="/v1/tree">tree</a></p>'
    )


def _table(rows: list[tuple], heads: tuple[str, ...] = ()) -> str:
    head = "".join(f"<th>{_text(name)}</th>" for name in heads)
    lines = [f"<tr>{head}</tr>"] if heads else []
    for row in rows:
        cells = "".join(f"<td>{_text(value)}</td>" for value in row)
        lines.append(f"<tr>{cells}</tr>")
    return f"<table>{''.join(lines)}</table>"


def _text(value: Any) -> str:
    return html.escape(str(value))
