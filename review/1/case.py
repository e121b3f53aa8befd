"""More than 500 ends wait at a minion that was cut off for a few seconds."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TASKS, CPU, WORK_S, CUT_S = 1400, 20, 9.0, 3.5


class Watched(Cell):
    """Keeps when each end was taken note of."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.noted = {}

    def on_seen(self, minion, number, task, run, how):
        super().on_seen(minion, number, task, run, how)
        self.noted.setdefault((minion.id, task, run), time.monotonic())


async def play(cell):
    await cell.start()
    await cell.wait_ready()
    # The entry nodes know a leader; the minions have announced themselves within a heartbeat.
    await asyncio.sleep(2.5)
    job = job_id()
    step = {"count": TASKS, "cpu": CPU, "mem_mb": 4, "est_runtime_ms": int(WORK_S * 1000),
            "constraints": "b"}
    status, _ = await cell.request("POST", job, {"spec": spec(WORK_S, CPU), "steps": [step]})
    if status != 200:
        raise CannotRun(f"the job was not accepted: {status}")
    began = time.monotonic()
    # Cut off is the minion with the most runs, just before the first of them ends.
    while time.monotonic() - began < 30 and not cell.runs:
        await asyncio.sleep(0.05)
    first = min(rows[0][2] for rows in cell.runs.values())
    await asyncio.sleep(max(0.0, first + WORK_S - 0.3 - time.monotonic()))
    target = max(cell.minions, key=lambda m: len(m.running))
    cell.record.add(f"{target.id} has {len(target.running)} runs")
    if TROUBLE:
        cell.record.add(f"cut: {target.id} is cut off for {CUT_S} s and runs on")
        target.cut_until = time.monotonic() + CUT_S
        await asyncio.sleep(CUT_S)
        cell.record.add(f"cut: healed; {len(target.finished)} ends wait at {target.id}")
    waiting = len(target.finished)
    state = None
    while time.monotonic() - began < 60 and state != "completed":
        await asyncio.sleep(0.5)
        status, answer = await cell.request("GET", job)
        state = answer.get("state") if status == 200 else None
    await asyncio.sleep(2)
    return waiting, state


def judge(cell):
    """TWICE: a start that follows a run's end as `done`, where that end is taken note of afterwards, and the lease of
    its minion has not lapsed between the end and the note."""
    broken = []
    for task, rows in cell.runs.items():
        for minion, run, _, end, how in rows:
            noted = cell.noted.get((minion.id, task, run))
            if how != "done" or noted is None:
                continue
            if any(m == minion.id and end <= at <= noted for m, at in cell.lapses):
                continue
            for other, later, began, _, _ in rows:
                if later != run and end < began <= noted:
                    broken.append((task, minion.id, run, end, other.id, later, began, noted))
    return broken


async def main():
    folder = os.path.dirname(os.path.abspath(__file__))
    # One minion in six is cut off. A third of them have the label that the job asks for, as kinds "a", "a", "b".
    cell = Watched(folder, controls=3, entries=2, minions=6, kinds="aab")
    began = cell.record.began
    try:
        waiting, state = await play(cell)
        broken = judge(cell)
        for task, minion, run, end, other, later, start, noted in broken[:20]:
            cell.record.add(f"TWICE: {task} run {run} ended done on {minion} at {end - began:.3f} s; run {later} started on "
                            f"{other} at {start - began:.3f} s; the end was taken note of at {noted - began:.3f} s")
        cell.record.add(f"result: {waiting} ends waited; job {state}; {len(broken)} starts after an end as done")
        print(f"ends that waited: {waiting}; job: {state}; starts that broke TWICE: {len(broken)}")
        return 1 if broken else 0
    except CannotRun as e:
        cell.record.add(f"cannot run: {e}")
        print(f"cannot run: {e}")
        return 2
    finally:
        cell.stop()


play_case(main)
