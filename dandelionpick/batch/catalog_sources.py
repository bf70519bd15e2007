"""Decides which instances read the configuration from another instance.

A large configuration is read by every instance. In a region without the store
the copies share one link, which is then full for seconds, and the scheduler's
calls to the targets beyond it wait. Two instances of such a region therefore
read it from the store, and the others from one of these.
"""

import zlib

from dandelionpick import ids
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import succession

# Instances that reach the store faster than this are in its region.
NEAR_STORE_RTT_S = 0.012
# Instances of a region that read from the store; the others use the second one
# when the first is gone.
SOURCES_PER_REGION = 2
# All instances have called the scheduler twice by then.
MIN_TENURE_S = 6.0
# Below this number of instances the copies are not worth another hop.
MIN_INSTANCES = 5


def source_for(
    state: state_lib.State, instance: ids.InstanceId, now_s: float
) -> str | None:
    """Returns the address that an instance should read from.

    The scheduler decides, because all instances call it.

    Returns:
        "" for the store, None for no change, because this scheduler is too new
        to know all instances.
    """
    if now_s - state.election.elected_s < MIN_TENURE_S:
        return None
    candidates = succession.live_candidates(state, now_s)
    own = candidates.get(instance)
    if own is None or not own.region:
        return ""
    members = {
        name: candidate
        for name, candidate in candidates.items()
        if candidate.region == own.region
    }
    nearest_s = min(member.store_rtt_s for member in members.values())
    if nearest_s <= NEAR_STORE_RTT_S or len(members) < MIN_INSTANCES:
        return ""
    ranked = sorted(members, key=lambda name: (-members[name].strength, name))
    sources = ranked[:SOURCES_PER_REGION]
    if instance in sources:
        return ""
    chosen = sources[zlib.crc32(instance.encode()) % len(sources)]
    return members[chosen].address
