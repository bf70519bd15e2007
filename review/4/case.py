"""Case 4: a machine reads the configuration from one that the store rejects.

In a region with five machines, three read new versions of the configuration
from another one. The store turns one of the machines that are read away; a
route that is added then is unknown to its readers for too long.
"""

import asyncio
import collections
import pathlib
import re
import sys

from review.stand_ins import deployment as deployment_lib

CONFIG_APPLY_S = 2.5
DOWN_S = 4.5
REGION_DELAY_S = 0.012
PROBE_S = 0.05
CHANGE_S = 0.06
NEAR = "edge-hamilton-1"
FAR = [f"edge-dunedin-{number}" for number in range(1, 6)]
SOURCE = re.compile(r"reading new versions from ([\d.:]+)")
HTTP_NOT_FOUND = 404
TRIES = 3
PAUSE_S = 8.0


def _readers(deployment: deployment_lib.Deployment) -> dict[str, list[str]]:
    """Returns the readers of each machine that is read."""
    names = {address: name for name, address in deployment.peers.items()}
    found = collections.defaultdict(list)
    for name in FAR:
        if sources := SOURCE.findall(deployment.log_of(name)):
            found[names[sources[-1]]].append(name)
    return found


async def _probe(
    deployment: deployment_lib.Deployment,
    name: str,
    added: str,
    until_s: float,
) -> None:
    """Asks a machine for the new queue again and again."""
    ledger = deployment.ledger
    acked_s = ledger.now_s()
    while (sent_s := ledger.now_s()) < until_s:
        status, _ = await deployment.ask_length(name, added)
        ledger.write("asked", machine=name, path=added, status=status)
        late_s = sent_s - acked_s
        if status == HTTP_NOT_FOUND and late_s > CONFIG_APPLY_S:
            ledger.record_broken(
                "CONFIG",
                f"{name} refuses {added} with 404 in a request sent"
                f" {late_s:.3f} s after the version that adds it was acked",
            )
        await asyncio.sleep(PROBE_S)


async def _change(
    deployment: deployment_lib.Deployment, trouble: bool, number: int
) -> None:
    """Changes the configuration, the third time beside the disruption."""
    ledger = deployment.ledger
    readers = _readers(deployment)
    source = max(readers, key=lambda name: len(readers[name]))
    ledger.write("readers", source=source, readers=readers[source])
    routes = [f"/new{number}{index}/" for index in range(3)]
    deployment.configure(routes[:1])
    await asyncio.sleep(CHANGE_S)
    deployment.configure(routes[:2])
    await asyncio.sleep(CHANGE_S / 2)
    if trouble:
        ledger.write("store turns away", machine=source)
        deployment.network.cuts.add((source, "store"))
    await asyncio.sleep(CHANGE_S / 2)
    deployment.configure(routes)
    until_s = ledger.now_s() + DOWN_S
    await asyncio.gather(
        *(
            _probe(deployment, name, routes[2], until_s)
            for name in readers[source]
        )
    )
    deployment.network.cuts.clear()
    ledger.write("healed")


async def play(deployment: deployment_lib.Deployment, trouble: bool) -> None:
    """Plays the case."""
    ledger = deployment.ledger
    await deployment.add_worker("w-1", "hamilton")
    await deployment.add_instance(NEAR, "hamilton", "waikato")
    for name in FAR:
        deployment.network.delays_s[name, "store"] = REGION_DELAY_S
    await asyncio.gather(
        *(deployment.add_instance(name, "dunedin", "otago") for name in FAR)
    )

    async def three_read() -> bool:
        return sum(map(len, _readers(deployment).values())) >= len(FAR) - 2

    await deployment.wait_for("three machines read copies", three_read, 30)
    await asyncio.sleep(3.0)
    for number in range(TRIES):
        await _change(deployment, trouble, number)
        if ledger.broken:
            break
        await asyncio.sleep(PAUSE_S)


if __name__ == "__main__":
    sys.exit(deployment_lib.main(play, pathlib.Path(__file__).parent))
