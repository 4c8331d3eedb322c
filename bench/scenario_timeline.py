"""Timelines of requests affected by the loss of processes."""

import pathlib
import threading

import msgspec
from result import Ok

from bench.deployments import GUILD, SERVICE, Deployment
from bench.harness import LoadRun, create_plans, print_line
from bench.load import LoadPlan
from cumintack.cli.rendering import render_timeline
from cumintack.coordination.timeline import Timeline

RATE_PER_S = 60.0
SECONDS = 5.0
SHOWN_EVENTS = ('entry.unknown', 'entry.hedged', 'entry.not-run')
MAX_EVENTS = 5000


def run(folder: pathlib.Path) -> None:
    """Kill a guard and a replica under load, then print timelines.

    For each event in ``SHOWN_EVENTS`` the timeline of one request that has it
    is printed.

    Args:
        folder: Folder of logs and results.
    """
    spec = msgspec.structs.replace(GUILD, workers=4, work_ms=100.0)
    deployment = Deployment(spec, folder)
    deployment.start()
    guard = deployment.processes[deployment.workers[0].name]
    replica = deployment.processes[deployment.controls[0].name]
    threading.Timer(SECONDS / 2, guard.kill).start()
    threading.Timer(SECONDS / 2, replica.kill).start()
    plan = LoadPlan(
        tuple(entry.http for entry in deployment.entries),
        f'/services/{SERVICE}/quotes',
        RATE_PER_S,
        SECONDS,
        32,
        1500,
        '',
        bare_share=0.5,
    )
    try:
        LoadRun(create_plans(plan, 1, folder), folder).wait(SECONDS + 30)
        timeline = _fetch_timeline(deployment, '')
        for event_name in SHOWN_EVENTS:
            _print_first_timeline(deployment, timeline, event_name)
    finally:
        deployment.stop()


def _fetch_timeline(deployment: Deployment, subject: str) -> Timeline:
    fetched = deployment.api.fetch_timeline(subject, MAX_EVENTS)
    if isinstance(fetched, Ok):
        return fetched.ok_value
    raise RuntimeError(str(fetched))


def _print_first_timeline(
    deployment: Deployment, timeline: Timeline, event_name: str
) -> None:
    subjects = [
        event.subject for event in timeline.events if event.name == event_name
    ]
    print_line(f'\n{event_name}: {len(subjects)} requests')
    if subjects:
        request_timeline = _fetch_timeline(deployment, subjects[0])
        print_line(render_timeline(request_timeline, 'table'))
