"""All daemons lose power while two versions of a service serve; clients take their streams up again."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from world import *  # noqa: E402,F403

STREAMS = 16
DOWN_S = 2.0  # herd_kill, for_s = 2.0
REST_S = 5.0  # from the daemons' start to the first take-up: contactMs is 3 s
EVENTS, INTERVAL = 60, 0.1


async def case(world):
    layout = [("a", "prefill", "v1"), ("b", "prefill", "v1"), ("c", "prefill", "v1"), ("d", "decode", "v1"),
              ("e", "prefill", "v2"), ("f", "prefill", "v2"), ("g", "decode", "v2"), ("h", "decode", "v2")]
    for name, stage, version in layout:
        server = await world.add_server("i-" + name, "huvo11a", stage, version)
        server.events, server.event_interval = EVENTS, INTERVAL
    await world.configure([route_chat()], [service_model()])
    world.add_daemons(4)
    for daemon in world.daemons:
        daemon.start()
    await world.until_ready(world.daemons)
    await asyncio.sleep(5)

    drop = asyncio.Event()
    streams = [asyncio.create_task(one_stream(world, world.daemons[number % 4], drop)) for number in range(STREAMS)]
    await asyncio.sleep(2.5)
    if TROUBLE:
        for daemon in world.daemons:
            daemon.signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for daemon in world.daemons:
            daemon.start()
        await world.until_ready(world.daemons)
    else:
        # The same take-ups, because the clients' connections break, not the daemons.
        drop.set()
        await asyncio.sleep(DOWN_S)
    await asyncio.sleep(REST_S - 0.2)
    new = [asyncio.create_task(attempt_stream(world, world.daemons[number % 4], "/pufi791/2f")) for number in range(STREAMS)]
    results = await asyncio.gather(*streams)
    begun = [attempt for attempt in await asyncio.gather(*new) if attempt.events]
    taken_up = [result for result in results if result[1]]
    went_on = [result for result in taken_up if any(attempt.events for attempt in result[1])]
    share, of_new = len(went_on) / max(len(taken_up), 1), len(begun) / len(new)
    text = ("%d streams taken up at daemons in touch, %d went on (%.2f); of %d new streams %d began (%.2f); "
            "bound: half of the share of new streams" % (len(taken_up), len(went_on), share, len(new), len(begun), of_new))
    if len(taken_up) < 12:
        raise CannotRun("only %d streams were taken up" % len(taken_up))
    return share < of_new / 2, text


async def one_stream(world, daemon, drop):
    """Reads one stream. When its connection breaks, the client waits and takes it up at another daemon, as
    often as three times, and heeds Retry-After. Its deadline is that of its first attempt, 15 s."""
    started = world.record.now()
    first = await attempt_stream(world, daemon, "/pufi791/2f", drop=drop)
    if first.complete or not first.events:
        return first, []
    await asyncio.sleep(DOWN_S + REST_S)
    tries = []
    for number in range(3):
        left = 15 - (world.record.now() - started)
        if left < 0.5:
            break
        other = world.daemons[(world.daemons.index(daemon) + 1 + number) % 4]
        attempt = await attempt_stream(world, other, "/pufi791/2f", resumes=first.id, last_event=str(first.events[-1][0]),
                                       deadline_s=left)
        tries.append(attempt)
        if attempt.events:
            break
        await asyncio.sleep(min(attempt.retry_after or 0.2, left / 3))
    return first, tries


run_case(case)
