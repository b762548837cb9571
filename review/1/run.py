"""Two daemons of four are cut off together while a release begins; clients take up streams there."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from world import *  # noqa: E402,F403

STREAMS = 24
CUT_S = 5.5  # core_cut, how = split, for_s = 5.5
RELEASE_GAP_S = 1.0  # release, x = 1, gap_s = 1.0
ALLOWED = 2  # "More than two streams"
APART = int(os.environ.get("APART", "2"))  # 2 of 4 daemons are cut off together


async def case(world):
    for number, stage in enumerate(["prefill", "prefill", "prefill", "decode", "decode"]):
        await add(world, "i-%02d" % number, stage, "v1")
    await world.configure([route_chat()], [service_model()])
    await world.add_daemons_with_network(4)
    for daemon in world.daemons:
        daemon.start()
    await world.until_ready(world.daemons)
    # All daemons have read each other's rows before they first connect.
    await asyncio.sleep(6)
    world.network.open.set()
    await asyncio.sleep(4)

    apart, rest = world.daemons[:APART], world.daemons[2:]
    if TROUBLE:
        world.network.split([daemon.name for daemon in apart])
    cut_at = world.record.now()
    # The release begins: of each of two servers the new one starts first, then the old one drains.
    for old, new, stage in (("i-00", "i-10", "prefill"), ("i-03", "i-11", "decode")):
        await add(world, new, stage, "v2")
        world.record.line("release: %s (v2) has started, %s (v1) drains" % (new, old))
        world.servers[old].state = "draining"
        await world.servers[old].beat()
        await asyncio.sleep(RELEASE_GAP_S)
    await asyncio.sleep(0.5)
    drop = asyncio.Event()
    streams = [asyncio.create_task(one_stream(world, rest[number % 2], apart[number // 2 % APART], drop)) for number in range(STREAMS)]
    await asyncio.sleep(1.2)
    drop.set()
    await asyncio.sleep(max(0, CUT_S - (world.record.now() - cut_at)))
    if TROUBLE:
        world.network.heal()
    results = await asyncio.gather(*streams)
    joined = [attempts for attempts in results if len({version for attempt in attempts for _, _, version in attempt.events}) > 1]
    of_v2 = sum(1 for attempts in results if attempts[0].events and attempts[0].events[0][2] == "v2")
    for attempts in joined:
        world.record.line("stream %s holds events of two versions: %s" % (
            attempts[0].id, "; ".join(describe(attempt.events) for attempt in attempts if attempt.events)))
    if of_v2 <= ALLOWED:
        raise CannotRun("only %d streams began at v2" % of_v2)
    return len(joined) > ALLOWED, "%d streams begun at v2, %d hold events of two versions; bound: not more than %d" % (
        of_v2, len(joined), ALLOWED)


async def add(world, name, stage, version):
    server = await world.add_server(name, "huvo11a", stage, version)
    server.events, server.event_interval = 40, 0.1


async def one_stream(world, daemon, other, drop):
    """Reads one stream. When its connection breaks, the client takes it up at another daemon, up to three times,
    heeding Retry-After."""
    started = world.record.now()
    first = await attempt_stream(world, daemon, "/pufi791/2f", drop=drop)
    attempts = [first]
    if first.complete or not first.events:
        return attempts
    for _ in range(3):
        left = 15 - (world.record.now() - started)
        attempt = await attempt_stream(world, other, "/pufi791/2f", resumes=first.id, last_event=str(first.events[-1][0]),
                                       deadline_s=left)
        attempts.append(attempt)
        if attempt.events:
            break
        await asyncio.sleep(min(attempt.retry_after or 0.2, left / 3))
    return attempts


run_case(case)
