"""Composition root of an instance that schedules batch jobs."""

import asyncio
import functools
import secrets

from absl import logging

from dandelionpick import events
from dandelionpick import http_bodies
from dandelionpick import http_pools
from dandelionpick import ids
from dandelionpick import loop_lag
from dandelionpick import runtime as runtime_lib
from dandelionpick import server
from dandelionpick import settings_file
from dandelionpick import tracing
from dandelionpick.batch import job_admission
from dandelionpick.batch import peer_api
from dandelionpick.batch import reducer as batch_reducer
from dandelionpick.batch import settings as batch_settings
from dandelionpick.batch import state as state_lib
from dandelionpick.platform import calls as platform_calls
from dandelionpick.platform import configuration as platform_configuration
from dandelionpick.platform import ingress
from dandelionpick.platform import keys as platform_keys
from dandelionpick.platform import targets as platform_targets
from dandelionpick.status import ExitStatus

# All requests have a response when the process exits; within this time the last
# responses are sent, before the platform kills the process.
SHUTDOWN_LIMIT_S = 0.4


def build_state(
    settings: batch_settings.Settings, peer_address: str
) -> state_lib.State:
    """Builds the initial state of an instance that schedules batch jobs.

    Args:
        settings: the checked settings.
        peer_address: address at which other instances reach this one.
    """
    limits = batch_settings.limits_of(settings)
    return state_lib.State(
        identity=batch_settings.identity_of(settings, peer_address),
        incarnation=ids.Incarnation(secrets.token_hex(8)),
        formats=state_lib.Formats(
            platform_keys.CONFIGURATION_KEY,
            platform_keys.TARGETS_PREFIX,
            platform_keys.EVACUATIONS_PREFIX,
            platform_configuration.decode,
            platform_targets.decode_entry,
        ),
        limits=limits,
        job_credit=state_lib.JobCredit(job_admission.initial_credit(limits)),
        features=batch_settings.features_of(settings),
    )


async def run_scheduler(settings: batch_settings.Settings) -> ExitStatus:
    """Runs an instance that schedules batch jobs on the users' platform.

    Args:
        settings: the checked settings.

    Raises:
        OSError: one of the addresses can't be bound.
    """
    tracer = tracing.Tracer(
        settings.instance.name, settings.tracing.sampled_share
    )
    inbound = settings_file.inbound_limits_of(settings.server)
    outbound = settings_file.pool_limits_of(settings.client)
    listen = settings.listen
    callers, health, peers = map(
        server.bind, (listen.callers, listen.health, listen.peers)
    )
    lag = loop_lag.LoopLag()
    async with http_pools.Pools(outbound, lag) as pools:
        runtime = runtime_lib.Runtime(
            build_state(settings, server.address_of(peers)),
            batch_reducer.reduce_guarded,
            functools.partial(platform_calls.send, pools),
            tracer,
            lag,
        )
        budget = http_bodies.Budget(inbound.max_unfinished_bytes)
        apps = {
            callers: ingress.build_caller_app(
                runtime, inbound.body_timeout_s, budget
            ),
            health: ingress.build_health_app(runtime),
            peers: peer_api.build(runtime, budget),
        }
        ticks = asyncio.ensure_future(runtime.run_ticks())
        logging.info(
            "server: started as %s, incarnation %s, listening on %s",
            settings.instance.name,
            runtime.state.incarnation,
            " ".join(map(server.address_of, apps)),
        )
        finished = await server.serve_until(
            server.route_by_port(apps),
            list(apps),
            runtime.exit_requested,
            lambda: runtime.deliver(events.StopRequested(runtime.moment())),
            inbound,
            shutdown_limit_s=SHUTDOWN_LIMIT_S,
        )
        ticks.cancel()
        await runtime.cancel_calls()
    logging.info("server: stopped")
    return ExitStatus.OK if finished else ExitStatus.INTERRUPTED
