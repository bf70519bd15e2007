"""Composition root: builds and runs an entry instance."""

import asyncio
import functools
import secrets
import socket

from absl import logging

from dandelionpick import api
from dandelionpick import events
from dandelionpick import http_bodies
from dandelionpick import http_client
from dandelionpick import http_pools
from dandelionpick import ids
from dandelionpick import reducer
from dandelionpick import runtime as runtime_lib
from dandelionpick import server
from dandelionpick import settings as settings_lib
from dandelionpick import settings_file
from dandelionpick import state as state_lib
from dandelionpick import tracing
from dandelionpick.status import ExitStatus


def build_state(settings: settings_lib.Settings) -> state_lib.State:
    """Builds the initial state of the reducer."""
    identity = state_lib.Identity(
        instance=ids.InstanceId(settings.instance.name),
        failure_domain=ids.FailureDomain(settings.instance.failure_domain),
        region=ids.Region(settings.instance.region),
        store_address=settings.platform.store,
        list_address=settings.platform.instance_list,
    )
    return state_lib.State(
        identity=identity,
        incarnation=ids.Incarnation(secrets.token_hex(8)),
        limits=settings_lib.limits_of(settings),
    )


async def run_instance(
    settings: settings_lib.Settings, listener: socket.socket
) -> ExitStatus:
    """Runs an entry instance until a graceful shutdown or a second signal.

    Args:
        settings: the validated settings.
        listener: a socket that listens on the instance's address.
    """
    tracer = tracing.Tracer(
        settings.instance.name, settings.tracing.sampled_share
    )
    inbound = settings_file.inbound_limits_of(settings.server)
    outbound = settings_file.pool_limits_of(settings.client)
    async with http_pools.Pools(outbound) as pools:
        runtime = runtime_lib.Runtime(
            build_state(settings),
            reducer.reduce_guarded,
            functools.partial(http_client.send, pools),
            tracer,
        )
        ticks = asyncio.ensure_future(runtime.run_ticks())
        host, port = listener.getsockname()
        logging.info("server: listening on %s:%d", host, port)
        finished = await server.serve_until(
            api.build_app(
                runtime,
                inbound.body_timeout_s,
                http_bodies.Budget(inbound.max_unfinished_bytes),
            ),
            [listener],
            runtime.exit_requested,
            lambda: runtime.deliver(events.StopRequested(runtime.moment())),
            inbound,
        )
        ticks.cancel()
        await runtime.cancel_calls()
    return ExitStatus.OK if finished else ExitStatus.INTERRUPTED
