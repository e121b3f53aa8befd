"""A submit held up by a cut is taken after its cancelling was acknowledged."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from cell2 import BOUNDS, Cell, Worker, main, route, service  # noqa: E402

CUT_S = 5.5
JOB = "/lohu930/5c0e7a21d94b36f8"
BODY = {"spec": "match 17", "steps": [{"count": 1, "cpu": 500, "mem_mb": 256, "est_runtime_ms": 900}]}


def case(record, trouble):
    cell = Cell(record, edges=6, proxied=True)
    try:
        cell.start()
        cell.publish([route()], [service()])
        for i in range(3):
            Worker(cell, i)
        cell.wait_workers(3)
        # Every entry instance serves before the trouble.
        for i, edge in enumerate(cell.edges):
            until = time.monotonic() + 10
            while cell.call(edge, "POST", f"/lohu930/{i + 1:016x}", BODY)[0] != 200:
                if time.monotonic() > until:
                    raise RuntimeError(f"{edge.name} does not serve")
                time.sleep(0.2)
        time.sleep(3.5)
        lone, other = cell.edges[0], cell.edges[1]
        if trouble:
            cell.partition(lone)
            cut_at = record.now()
        submitted, _ = cell.call(lone, "POST", JOB, BODY)
        # The requester does not know whether it was taken, and no longer wants it.
        cancelled, _ = cell.call(other, "DELETE", JOB)
        cancelled_at = record.now()
        if cancelled not in (200, 410):
            raise RuntimeError(f"the cancel was answered {cancelled}")
        if trouble:
            time.sleep(max(0.0, cut_at + CUT_S - record.now()))
            cell.partition()
        time.sleep(8)
        state = cell.call(other, "GET", JOB)
        name = JOB.rsplit("/", 1)[1]
        late = [(at, t, w.id) for w in cell.workers for at, t, _ in w.starts
                if t.startswith(name) and at > cancelled_at + BOUNDS["cancel_ms"] / 1000]
        if late:
            at, task, worker = late[0]
            return (f"the submit was answered {submitted}, the cancel {cancelled}; {task} started on {worker} "
                    f"{at - cancelled_at:.2f} s after the cancel was acknowledged; the job is now {state}")
        return None
    finally:
        cell.close()


main(case, FOLDER)
