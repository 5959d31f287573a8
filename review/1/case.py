"""Former leaders keep their connections to the workers, until a new leader gets none."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
sys.dont_write_bytecode = True

import platform_standins as platform  # noqa: E402

MEMBERS = 9
WORKERS = 8
# Members that have led when the disruption ends, and the longest that it goes on.
LEADERS = 7
MOVES_MAX = 21
TURNED_AWAY = 3
TURNED_AWAY_S = 1.8
CALM_S = 8
FINISH_S = 14
IDLE_S = 3
KEY = "key-amt"
ROUTES = [
    {
        "name": "r-frei",
        "host": "jobs.example",
        "path-prefix": "/frei/",
        "service": "pool",
        "priority": 0,
        "max-attempts": 4,
        "slack-factor": 2.0,
        "target-completion-ms": 250,
    }
]
TENANTS = [
    {
        "name": "amt",
        "api-keys": [KEY],
        "weight": 100,
        "max-count": {"cpu": 0, "mem-mb": 0, "gpu": 0},
    }
]


async def play(site, trouble):
    zones = ["freising", "traunstein", "garmisch"]
    await site.start(WORKERS, MEMBERS, zones, routes=ROUTES, tenants=TENANTS)
    await asyncio.sleep(3)
    number = 0

    async def submit():
        """Hands a job of the site's widest kind in, 36 tasks of 0.4 s on 1.3 cores; tries again when refused."""
        nonlocal number
        number += 1
        path = f"/frei/{number:016x}"
        phase = {"count": 36, "cpu": 1_300, "mem-mb": 260, "est-runtime-ms": 400}
        body = {"spec": '{"work-ms": 400}', "phases": [phase]}
        for i in range(5):
            member = site.members[(number + i) % MEMBERS]
            status, _ = await site.submit(member, path, KEY, body)
            if status == 200:
                return path
            await asyncio.sleep(1)
        return None

    async def burst():
        return [p for p in await asyncio.gather(*(submit() for _ in range(4))) if p]

    accepted = []
    leaders = []
    for _ in range(MOVES_MAX):
        accepted += await burst()
        await asyncio.sleep(0.7)
        leader = site.leader()
        if leader in leaders:
            leaders.remove(leader)
        leaders.append(leader)
        if len(leaders) >= LEADERS:
            site.record(f"the leader is {leader.name}, the {len(leaders)}th member that leads")
            break
        # The leader, and the last two others that led: a third of the machines.
        away = leaders[-TURNED_AWAY:] if trouble else []
        site.record(f"the leader is {leader.name}; the store turns away {[m.name for m in away]}")
        for member in away:
            member.door.closed = True
        await asyncio.sleep(TURNED_AWAY_S)
        for member in away:
            member.door.closed = False
    held = [len(w.server.writers) for w in site.workers]
    site.record(f"the store serves all; connections held at the workers: {held}")
    await asyncio.sleep(CALM_S)
    accepted += await burst()
    traffic_ends = site.record.now()
    site.record("end of the traffic")
    await asyncio.sleep(FINISH_S)

    names = {path: path.rsplit("/", 1)[1] for path in accepted}
    idle = {path: True for path in accepted}
    until = site.record.now() + IDLE_S
    while site.record.now() < until:
        for path, name in names.items():
            if any(runs for task, runs in site.running.items() if runs and task.startswith(name)):
                idle[path] = False
        await asyncio.sleep(0.02)
    broken = []
    for i, path in enumerate(accepted):
        state = await site.state(site.members[i % MEMBERS], path, KEY)
        if idle[path] and state not in ("completed", "failed"):
            done = {e[0] for e in site.ends if e[0].startswith(names[path]) and e[2] == "done"}
            broken.append(
                f"{path} is shown as {state} with nothing running, {site.record.now() - traffic_ends:.0f} s after"
                f" the traffic; {len(done)} of its 36 tasks are done"
            )
    held = [len(w.server.writers) for w in site.workers]
    reset = sum(w.server.over_cap for w in site.workers)
    site.record(f"connections held at the workers: {held}; reset because there were too many: {reset}")
    return broken


sys.exit(platform.main(FOLDER, play))
