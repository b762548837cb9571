"""One model server of eight crashes while two versions serve; clients take up the streams that it broke off."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from world import *  # noqa: E402,F403

STREAMS = 60
DOWN_S = 4.5  # srv_crash, for_s = 4.5


async def case(world):
    # All servers start with the same stage. The system's orders set the stages.
    for number in range(8):
        await add(world, "i-%02d" % number, "prefill", "v1" if number < 4 else "v2")
    await world.configure([route_chat()], [service_model()])
    world.add_daemons(4)
    for daemon in world.daemons:
        daemon.start()
    await world.until_ready(world.daemons)
    await asyncio.sleep(9)
    decoding = {version: [server for server in world.servers.values() if server.version == version and server.stage == "decode"]
                for version in ("v1", "v2")}
    lone = next((servers[0] for servers in decoding.values() if len(servers) == 1), None)
    if lone is None:
        raise CannotRun("no version has one decoding server: %s" % {version: len(servers) for version, servers in decoding.items()})
    world.record.line("the system has made %s servers of v1 and %s of v2 decode; %s is the only one of %s" % (
        len(decoding["v1"]), len(decoding["v2"]), lone.id, lone.version))

    drop = asyncio.Event()
    streams = [asyncio.create_task(one_stream(world, world.daemons[number % 4], drop)) for number in range(STREAMS)]
    await asyncio.sleep(2)
    if TROUBLE:
        world.record.line("server %s crashes" % lone.id)
        lone.stop()
        world.tasks.append(asyncio.create_task(back(world, lone)))
    else:
        drop.set()
    await asyncio.sleep(0.2)
    new = [asyncio.create_task(attempt_stream(world, world.daemons[number % 4], "/pufi791/2f")) for number in range(16)]
    results = await asyncio.gather(*streams)
    begun = [attempt for attempt in await asyncio.gather(*new) if attempt.events]
    taken_up = [tries for tries in results if tries]
    went_on = [tries for tries in taken_up if any(attempt.events for attempt in tries)]
    share, of_new = len(went_on) / max(len(taken_up), 1), len(begun) / len(new)
    text = ("%d streams taken up, %d went on (%.2f); of %d new streams %d began (%.2f); bound: half of the share of new "
            "streams" % (len(taken_up), len(went_on), share, len(new), len(begun), of_new))
    if len(taken_up) < 12:
        raise CannotRun("only %d streams were taken up" % len(taken_up))
    return share < of_new / 2, text


async def add(world, name, stage, version):
    server = await world.add_server(name, "huvo11a", stage, version)
    server.events, server.event_interval = 50, 0.1


async def back(world, lone):
    """The server is back as a new incarnation. Its old entry has lapsed by then."""
    await asyncio.sleep(3 * HEARTBEAT_S)
    await lone.unlist()
    await asyncio.sleep(DOWN_S - 3 * HEARTBEAT_S)
    await add(world, lone.id + "b", "decode", lone.version)
    world.record.line("server %sb is back" % lone.id)


async def one_stream(world, daemon, drop):
    """Reads one stream. When it breaks, the client takes it up, as often as three times, and heeds Retry-After."""
    started = world.record.now()
    first = await attempt_stream(world, daemon, "/pufi791/2f", drop=drop)
    tries = []
    if first.complete or not first.events:
        return tries
    for number in range(3):
        left = 15 - (world.record.now() - started)
        other = world.daemons[(world.daemons.index(daemon) + 1 + number) % 4]
        attempt = await attempt_stream(world, other, "/pufi791/2f", resumes=first.id, last_event=str(first.events[-1][0]),
                                       deadline_s=left)
        tries.append(attempt)
        if attempt.events:
            break
        await asyncio.sleep(min(attempt.retry_after or 0.2, left / 3))
    return tries


run_case(case)
