"""The four daemons are stopped and started in turn; clients take up the streams that the last one breaks off."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from world import *  # noqa: E402,F403

STREAMS = 16
GAP_S = 1.3  # roll_term, x = 1, gap_s = 1.3
TOUCH_S = BOUNDS["contactMs"] / 1000
CUT_S = 10.3  # when the streams break in the run without the stops


async def case(world):
    layout = [("a", "prefill", "v1"), ("b", "prefill", "v1"), ("c", "prefill", "v1"), ("d", "decode", "v1"),
              ("e", "prefill", "v2"), ("f", "prefill", "v2"), ("g", "decode", "v2"), ("h", "decode", "v2")]
    for name, stage, version in layout:
        server = await world.add_server("i-" + name, "huvo11a", stage, version)
        server.events, server.event_interval = 140, 0.1
    await world.configure([route_chat()], [service_model()])
    world.add_daemons(4)
    for daemon in world.daemons:
        daemon.start()
    await world.until_ready(world.daemons)
    await asyncio.sleep(5)

    last, drop = world.daemons[3], asyncio.Event()
    rolling = asyncio.create_task(roll(world)) if TROUBLE else None
    await asyncio.sleep(1.0)
    # At this moment two daemons are stopping; the clients of these streams use another one.
    streams = [asyncio.create_task(one_stream(world, last, drop)) for _ in range(STREAMS)]
    await asyncio.sleep(CUT_S - 1.0)
    new = [asyncio.create_task(attempt_stream(world, world.daemons[number % 2], "/pufi791/2f")) for number in range(STREAMS)]
    if not TROUBLE:
        drop.set()
    results = await asyncio.gather(*streams)
    begun = [attempt for attempt in await asyncio.gather(*new) if attempt.events]
    if rolling:
        await rolling
    taken_up = [tries for tries in results if tries]
    went_on = [tries for tries in taken_up if any(attempt.events for attempt in tries)]
    share, of_new = len(went_on) / max(len(taken_up), 1), len(begun) / len(new)
    text = ("%d streams taken up at daemons in touch, %d went on (%.2f); of %d new streams %d began (%.2f); "
            "bound: half of the share of new streams" % (len(taken_up), len(went_on), share, len(new), len(begun), of_new))
    if len(taken_up) < 12:
        raise CannotRun("only %d streams were taken up" % len(taken_up))
    return share < of_new / 2, text


async def roll(world):
    """Stops the daemons one by one, GAP_S apart, each as the platform does, and starts each again when it has ended.
    The last one is not stopped before another one is ready again."""
    stops = []
    for number, daemon in enumerate(world.daemons):
        if number == 3:
            await world.until_ready(world.daemons[:1])
        stops.append(asyncio.create_task(restart(world, daemon)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*stops)


async def restart(world, daemon):
    began = world.record.now()
    daemon.signal(signal.SIGTERM)
    while daemon.process.poll() is None:
        if world.record.now() - began > BOUNDS["graceS"]:
            daemon.signal(signal.SIGKILL)
        await asyncio.sleep(0.02)
    world.record.line("daemon %s has ended" % daemon.name)
    daemon.start()


async def one_stream(world, daemon, drop):
    """Reads one stream. When its connection breaks, the client takes it up at one of the daemons that are in
    touch, as often as three times, and heeds Retry-After. Its deadline is that of its first attempt, 15 s."""
    started = world.record.now()
    first = await attempt_stream(world, daemon, "/pufi791/2f", drop=drop)
    tries = []
    if first.complete or not first.events:
        return tries
    for number in range(3):
        left = 15 - (world.record.now() - started)
        in_touch = [other for other in await resolve(world) if other is not daemon and world.record.now() - other.started_at > TOUCH_S]
        if left < 0.5 or not in_touch:
            break
        attempt = await attempt_stream(world, in_touch[number % len(in_touch)], "/pufi791/2f", resumes=first.id,
                                       last_event=str(first.events[-1][0]), deadline_s=left)
        tries.append(attempt)
        if attempt.events:
            break
        await asyncio.sleep(min(attempt.retry_after or 0.2, left / 3))
    return tries


run_case(case)
