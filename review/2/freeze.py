"""The same promise, another order of events: a daemon freezes, then a release begins. Not part of run.sh."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from world import *  # noqa: E402,F403

STREAMS = 16
FROZEN_S = 4.0  # node_freeze, for_s = 4.0
STALL_S = 2.0  # clients abandon a stream after a gap of two seconds


async def case(world):
    for number, stage in enumerate(["prefill"] * 5 + ["decode"] * 3):
        await add(world, "i-%02d" % number, stage, "v1")
    await world.configure([route_chat()], [service_model()])
    world.add_daemons(4)
    for daemon in world.daemons:
        daemon.start()
    await world.until_ready(world.daemons)
    await asyncio.sleep(5)

    drop = asyncio.Event()
    streams = [asyncio.create_task(one_stream(world, drop)) for _ in range(STREAMS)]
    await asyncio.sleep(2.5)
    if TROUBLE:
        world.daemons[3].signal(signal.SIGSTOP)
    await asyncio.sleep(0.5)
    # The release begins: the new server starts first, then the old one drains.
    await add(world, "i-10", "decode", "v2")
    world.servers["i-07"].state = "draining"
    await world.servers["i-07"].beat()
    world.record.line("release: i-10 (v2) has started, i-07 (v1) drains")
    await asyncio.sleep(STALL_S - 0.5)
    drop.set()
    new = [asyncio.create_task(attempt_stream(world, world.daemons[number % 3], "/pufi791/2f")) for number in range(STREAMS)]
    await asyncio.sleep(FROZEN_S - STALL_S)
    if TROUBLE:
        world.daemons[3].signal(signal.SIGCONT)
    taken_up = [tries for tries in await asyncio.gather(*streams) if tries]
    begun = [attempt for attempt in await asyncio.gather(*new) if attempt.events]
    went_on = [tries for tries in taken_up if any(attempt.events for attempt in tries)]
    if len(taken_up) < 12:
        raise CannotRun("only %d streams were taken up" % len(taken_up))
    share, of_new = len(went_on) / len(taken_up), len(begun) / len(new)
    return share < of_new / 2, (
        "%d streams taken up at daemons in touch, %d went on (%.2f); of %d new streams %d began (%.2f); bound: half of the "
        "share of new streams" % (len(taken_up), len(went_on), share, len(new), len(begun), of_new))


async def add(world, name, stage, version):
    server = await world.add_server(name, "huvo11a", stage, version)
    server.events, server.event_interval = 100, 0.1


async def one_stream(world, drop):
    """Reads one stream at the fourth daemon, and takes it up at the others, up to three times."""
    started = world.record.now()
    first = await attempt_stream(world, world.daemons[3], "/pufi791/2f", drop=drop)
    tries = []
    if first.complete or not first.events:
        return tries
    for number in range(3):
        left = 15 - (world.record.now() - started)
        attempt = await attempt_stream(world, world.daemons[number], "/pufi791/2f", resumes=first.id,
                                       last_event=str(first.events[-1][0]), deadline_s=left)
        tries.append(attempt)
        if attempt.events:
            break
        await asyncio.sleep(min(attempt.retry_after or 0.2, left / 3))
    return tries


run_case(case)
