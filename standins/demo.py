"""Runs both users' deployments in small with a short mixed load.

Ends with a table of outcomes, and with status 0 only if every promise that
the demo checks was kept.
"""

import asyncio
import base64
import collections
import dataclasses
import pathlib
import sys
import time

import aiohttp

from standins import deployment

FOLDER = pathlib.Path("build/demo")
REQUESTS = 60
DEADLINE_S = 10.0


@dataclasses.dataclass(frozen=True)
class User:
    """A user's failure domains and tree."""

    name: str
    domains: tuple[deployment.DomainPlan, ...]
    organisations: tuple[str, ...]


USERS = (
    User(
        "authority",
        (
            deployment.DomainPlan("ishikari-a", "ishikari"),
            deployment.DomainPlan("ishikari-b", "ishikari"),
            deployment.DomainPlan("kamikawa-a", "kamikawa"),
        ),
        ("station-stands", "ward-offices"),
    ),
    User(
        "bootworks",
        (
            deployment.DomainPlan("waikato-a", "waikato"),
            deployment.DomainPlan("waikato-b", "waikato"),
            deployment.DomainPlan("otago-a", "otago"),
        ),
        ("shops", "hospitals"),
    ),
)


def tree_of(user: User) -> dict:
    """Builds a user's first tree."""
    return {
        "classes": {
            "confirmation": {"worth": 5, "short": True},
            "assessment": {"worth": 1},
        },
        "branches": {name: {} for name in user.organisations},
    }


async def submit(
    session: aiohttp.ClientSession, address: str, user: User, number: int
) -> str:
    """Submits one request and tells what became of it."""
    body = f"{user.name} request {number}".encode()
    message = {
        "organisation": user.organisations[number % len(user.organisations)],
        "job_class": ("confirmation", "assessment")[number % 2],
        "key": f"demo-{number}",
        "body": base64.b64encode(body).decode(),
        "deadline_s": DEADLINE_S,
    }
    url = f"http://{address}/v1/requests"
    async with session.post(url, json=message) as response:
        answer = await response.json()
    if answer["outcome"] != "completed":
        return answer["outcome"]
    if base64.b64decode(answer["body"]) != body[::-1]:
        return "wrong answer"
    return "completed"


async def run_load(user: User, addresses: list[str]) -> collections.Counter:
    """Submits the load of one user and counts the outcomes."""
    async with aiohttp.ClientSession() as session:
        outcomes = await asyncio.gather(
            *(
                submit(session, addresses[n % len(addresses)], user, n)
                for n in range(REQUESTS)
            )
        )
    return collections.Counter(outcomes)


def run_user(user: User) -> bool:
    """Runs one user's deployment; tells whether every promise was kept."""
    started_s = time.monotonic()
    with deployment.Deployment(FOLDER / user.name) as running:
        running.start(list(user.domains), tree_of(user))
        print(f"{user.name}: {len(running.processes)} processes", flush=True)
        outcomes = asyncio.run(run_load(user, running.entry_addresses()))
    for outcome, count in sorted(outcomes.items()):
        print(f"{user.name:<12}{'request':<12}{outcome:<16}{count:>6}")
    print(f"{user.name}: {time.monotonic() - started_s:.1f} s", flush=True)
    return outcomes == {"completed": REQUESTS}


def main() -> int:
    """Runs every user's deployment in turn."""
    kept = [run_user(user) for user in USERS]
    print("every promise was kept" if all(kept) else "a promise was broken")
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(main())
