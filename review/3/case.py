"""A channel between two machines goes silent while jobs are handed in, and their route is removed meanwhile."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS = 5
REJECTED = (404, 429, 503)


async def play(cell):
    entry = cell.entries[0]
    cell.put_behind_proxy(entry)
    await cell.start()
    await cell.wait_ready()
    await asyncio.sleep(2.5)
    _, leader = cell.leader()
    if leader is None:
        raise CannotRun("no leader is known")
    if TROUBLE:
        found = entry.proxy.silence(leader.child.pid)
        cell.record.add(f"silent: {found} open channel from {leader.name} to {entry.name}; new ones work")
        if found == 0:
            raise CannotRun("there is no channel to silence")
    # Each requester makes attempts until it gets an answer that is final: 200, or a rejection.
    attempts = {}

    async def hand_in(job):
        step = {"count": 2, "cpu": 500, "mem_mb": 100, "est_runtime_ms": 300}
        body = {"spec": spec(0.3, 500), "steps": [step]}
        for _ in range(4):
            status, _ = await cell.request("POST", job, body, entry=entry)
            attempts.setdefault(job, []).append(status)
            if status == 200 or status == 404:
                return
            await asyncio.sleep(0.7)

    requesters = [asyncio.create_task(hand_in(job_id())) for _ in range(JOBS)]
    await asyncio.sleep(0.1)
    # Planned work: the route is removed, another one is there instead.
    if not await cell.publish(cell.version + 1, "/pufi791/"):
        raise CannotRun("the desired state was not acknowledged")
    await asyncio.gather(*requesters)
    await asyncio.sleep(3)
    return attempts


async def main():
    folder = os.path.dirname(os.path.abspath(__file__))
    cell = Cell(folder, controls=3, entries=2, minions=6)
    try:
        attempts, broken = await play(cell), []
        for job, statuses in attempts.items():
            starts = sum(len(rows) for task, rows in cell.runs.items() if task.startswith(job))
            cell.record.add(f"job {job}: attempts answered {statuses}, {starts} starts")
            # REFUSED: every attempt to hand the job in was rejected, and a task of it starts anyway.
            if all(s in REJECTED for s in statuses) and starts:
                broken.append(job)
                cell.record.add(f"REFUSED: {job} was rejected with {statuses} and ran")
        cell.record.add(f"result: {len(broken)} of {len(attempts)} jobs were rejected and ran")
        print(f"jobs {len(attempts)}, rejected and run all the same {len(broken)}; answers "
              f"{sorted(set(map(str, attempts.values())))}")
        return 1 if broken else 0
    except CannotRun as e:
        cell.record.add(f"cannot run: {e}")
        print(f"cannot run: {e}")
        return 2
    finally:
        cell.stop()


play_case(main)
