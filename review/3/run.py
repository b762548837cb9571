"""All daemons lose power near the end of a release; the store is busy for a moment when they start."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from world import *  # noqa: E402,F403

STREAMS = 48
DOWN_S = 2.0  # herd_kill, for_s = 2.0
RELEASE_GAP_S = 1.0  # release, x = 1, gap_s = 1.0
BUSY_S = 1.5  # platform_down, how = busy; the pages allow 4.5 s
STORE_BUSY = os.environ.get("STORE_BUSY", "1") != "0"
ALLOWED = 2  # "More than two streams"


async def case(world):
    layout = [("a", "prefill", "v1"), ("b", "decode", "v1"), ("c", "prefill", "v2"), ("d", "prefill", "v2"),
              ("e", "prefill", "v2"), ("f", "prefill", "v2"), ("g", "decode", "v2"), ("h", "decode", "v2")]
    for name, stage, version in layout:
        server = await world.add_server("i-" + name, "huvo11a", stage, version)
        server.events, server.event_interval = 60, 0.1
    await world.configure([route_chat()], [service_model()])
    world.add_daemons(4)
    for daemon in world.daemons:
        daemon.start()
    await world.until_ready(world.daemons)
    await asyncio.sleep(6)

    drop = asyncio.Event()
    streams = [asyncio.create_task(one_stream(world, world.daemons[number % 4], drop)) for number in range(STREAMS)]
    await asyncio.sleep(2.5)
    release = asyncio.create_task(replace_last_of_v1(world))
    if TROUBLE:
        for daemon in world.daemons:
            daemon.signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        if STORE_BUSY:
            world.store.busy_until = time.monotonic() + BUSY_S
            world.record.line("the store answers 503 for %.1f s" % BUSY_S)
        for daemon in world.daemons:
            daemon.start()
        await world.until_ready(world.daemons)
    else:
        drop.set()
    await release
    results = await asyncio.gather(*streams)
    joined = [attempts for attempts in results if len({version for attempt in attempts for _, _, version in attempt.events}) > 1]
    of_v1 = sum(1 for attempts in results if attempts[0].events and attempts[0].events[0][2] == "v1")
    for attempts in joined:
        world.record.line("stream %s holds events of two versions: %s" % (
            attempts[0].id, "; ".join(describe(attempt.events) for attempt in attempts if attempt.events)))
    if of_v1 <= ALLOWED:
        raise CannotRun("only %d streams began at v1" % of_v1)
    return len(joined) > ALLOWED, "%d streams begun at v1, %d hold events of two versions; bound: not more than %d" % (
        of_v1, len(joined), ALLOWED)


async def replace_last_of_v1(world):
    """The last two steps of the release: the new server starts first, the old one leaves. These servers never
    report that they drain: their entry is removed, and they go on serving for drainMs."""
    for old, new, stage in (("i-a", "i-y", "prefill"), ("i-b", "i-z", "decode")):
        server = await world.add_server(new, "huvo11a", stage, "v2")
        server.events, server.event_interval = 60, 0.1
        await world.servers[old].unlist()
        world.record.line("release: %s (v2) has started, %s (v1) leaves" % (new, old))
        world.tasks.append(asyncio.create_task(end_after_drain(world.servers[old])))
        await asyncio.sleep(RELEASE_GAP_S)


async def end_after_drain(server):
    await asyncio.sleep(BOUNDS["drainMs"] / 1000 + 0.5)
    server.stop()


async def one_stream(world, daemon, drop):
    """Reads one stream. When its connection breaks, the client asks where to connect until it hears of a daemon,
    and takes the stream up there, again up to three times after a refusal, heeding Retry-After."""
    started = world.record.now()
    first = await attempt_stream(world, daemon, "/pufi791/2f", drop=drop)
    attempts = [first]
    if first.complete or not first.events:
        return attempts
    while len(attempts) < 5:
        await asyncio.sleep(0.3)
        left = 15 - (world.record.now() - started)
        named = await resolve(world)
        if left < 0.5:
            break
        if not named:
            continue
        attempt = await attempt_stream(world, random.choice(named), "/pufi791/2f", resumes=first.id,
                                       last_event=str(first.events[-1][0]), deadline_s=left)
        attempts.append(attempt)
        if attempt.events:
            break
        await asyncio.sleep(min(attempt.retry_after, left / 3))
    return attempts


run_case(case)
