"""Stateful property tests of placement and leases against an oracle."""

import hypothesis.strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cumintack.coordination.fake_workers_test import TEAMS, FakePlatform
from cumintack.state.commands import (
    CancelJobs,
    HoldJob,
    MarkWorker,
    SubmitJob,
)
from cumintack.state.jobs import JobSpec, Priority
from cumintack.state.resources import Resources

POSITIONS = st.integers(0, 1000)
WORKERS = st.integers(0, 2)
NEEDS = st.builds(
    Resources,
    st.sampled_from((500, 1000, 2500, 4000)),
    st.sampled_from((500, 1000, 3000)),
    st.sampled_from((0, 0, 1)),
)


class LeadershipMachine(RuleBasedStateMachine):
    """A leader and three workers under message loss, restarts and failures."""

    def __init__(self) -> None:
        """Start the platform."""
        super().__init__()
        self.platform = FakePlatform(3, 0)

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        """Start the platform with clock rates drawn from a seed."""
        self.platform = FakePlatform(3, seed)

    @rule(
        need=NEEDS,
        count=st.integers(1, 4),
        team=st.sampled_from(TEAMS),
        priority=st.sampled_from(tuple(Priority)),
        is_idempotent=st.booleans(),
    )
    def submit(
        self,
        need: Resources,
        count: int,
        team: str,
        priority: Priority,
        is_idempotent: bool,
    ) -> None:
        """Submit a job."""
        spec = JobSpec(
            'job',
            team,
            count,
            need,
            priority=priority,
            is_idempotent=is_idempotent,
        )
        self.platform.commit(SubmitJob(spec))

    @precondition(lambda self: bool(self.platform.tables.jobs))
    @rule(choice=POSITIONS)
    def cancel(self, choice: int) -> None:
        """Cancel a job."""
        jobs = list(self.platform.tables.jobs)
        self.platform.commit(CancelJobs((jobs[choice % len(jobs)],)))

    @precondition(lambda self: bool(self.platform.tables.jobs))
    @rule(choice=POSITIONS, is_held=st.booleans())
    def hold(self, choice: int, is_held: bool) -> None:
        """Hold a job or release it."""
        jobs = list(self.platform.tables.jobs)
        job_id = jobs[choice % len(jobs)]
        self.platform.commit(HoldJob(job_id, is_held, 'by the test'))

    @rule(worker=WORKERS, is_draining=st.booleans())
    def drain(self, worker: int, is_draining: bool) -> None:
        """Start or end the draining of a worker."""
        self.platform.commit(MarkWorker(f'w{worker}', is_draining=is_draining))

    @rule(worker=WORKERS)
    def heartbeat(self, worker: int) -> None:
        """Send a heartbeat without delivering it."""
        self.platform.heartbeat(f'w{worker}')

    @precondition(lambda self: bool(self.platform.statuses))
    @rule(position=POSITIONS, is_repeated=st.booleans())
    def deliver_status(self, position: int, is_repeated: bool) -> None:
        """Deliver a heartbeat, out of order or repeatedly."""
        self.platform.deliver_status(
            position % len(self.platform.statuses),
            is_repeated=is_repeated,
        )

    @precondition(lambda self: bool(self.platform.orders))
    @rule(position=POSITIONS, is_repeated=st.booleans())
    def deliver_orders(self, position: int, is_repeated: bool) -> None:
        """Deliver orders, out of order or repeatedly."""
        self.platform.deliver_orders(
            position % len(self.platform.orders),
            is_repeated=is_repeated,
        )

    @rule()
    def lose_messages(self) -> None:
        """Lose all messages in flight."""
        self.platform.statuses = []
        self.platform.orders = []

    @rule()
    def heartbeat_all(self) -> None:
        """Exchange one heartbeat between every guard and the leader."""
        self.platform.heartbeat_all()

    @rule(passed_ms=st.sampled_from((50, 500, 1500, 4500)))
    def advance_time(self, passed_ms: int) -> None:
        """Advance the time."""
        self.platform.tick(passed_ms / 1000)

    @rule(worker=WORKERS)
    def advance(self, worker: int) -> None:
        """Advance the tasks of a worker."""
        self.platform.advance(f'w{worker}')

    @rule(worker=WORKERS)
    def fail(self, worker: int) -> None:
        """Fail every running task of a worker."""
        self.platform.fail(f'w{worker}')

    @rule(worker=WORKERS, is_forgetful=st.booleans())
    def restart_worker(self, worker: int, is_forgetful: bool) -> None:
        """Restart a worker, which ends its running tasks."""
        self.platform.restart_worker(
            f'w{worker}',
            is_forgetful=is_forgetful,
        )

    @rule(worker=WORKERS)
    def restart_guard(self, worker: int) -> None:
        """Restart a guard, which loses its state."""
        self.platform.restart_guard(f'w{worker}')

    @rule()
    def change_leader(self) -> None:
        """Make another replica the leader."""
        self.platform.change_leader()

    @invariant()
    def check(self) -> None:
        """Check the invariants after every step."""
        self.platform.check()

    def teardown(self) -> None:
        """Stop all faults and check that every task ends or is held."""
        for name in self.platform.workers:
            self.platform.commit(
                MarkWorker(name, is_draining=False, is_quarantined=False),
            )
        self.platform.run_until_settled()


TestLeadership = LeadershipMachine.TestCase
