"""Tables of the replicated state.

They are separate from the transitions so that each group of transitions can
have its own module.
"""

import msgspec

from cumintack.state.claims import Claim
from cumintack.state.commands import Outcome, SetTeam
from cumintack.state.configuration import Configuration, ConfigurationRecord
from cumintack.state.jobs import Job, Task
from cumintack.state.resources import Resources
from cumintack.state.workers import Worker
from cumintack.state.workflows import WorkflowTables


class SessionRecord(msgspec.Struct):
    """Outcomes of the latest commands of one session.

    Attributes:
        outcomes: Outcomes by sequence number.
        forgotten_up_to: Highest sequence number whose outcome was discarded.
    """

    outcomes: dict[int, Outcome] = {}
    forgotten_up_to: int = 0


class DerivedTables(msgspec.Struct):
    """Data derived from the other tables; not part of a snapshot.

    Names are kept in dictionaries because the iteration order of sets differs
    between processes, which would make scheduling decisions differ.

    Attributes:
        reserved: Resources reserved on each worker.
        tasks_by_worker: Identifiers of the tasks that occupy each worker.
        team_usage: Resources reserved by each team.
        changed_tasks: Tasks changed since the last scheduling pass.
        changed_workers: Workers changed since the last scheduling pass.
    """

    reserved: dict[str, Resources] = {}
    tasks_by_worker: dict[str, dict[str, None]] = {}
    team_usage: dict[str, Resources] = {}
    changed_tasks: dict[str, None] = {}
    changed_workers: dict[str, None] = {}


class ControlTables(msgspec.Struct):
    """The complete replicated state.

    Attributes:
        applied_index: Index of the last log entry applied.
        configuration: The configuration in force.
        history: Recent accepted configuration changes, oldest first.
        sessions: Sessions, least recently used first.
        teams: Teams by name.
        jobs: Jobs by identifier.
        tasks: Tasks by identifier.
        workers: Workers by name.
        claims: Claims by key.
        workflows: Workflows and the configuration of their queues.
        derived: Data derived from the other tables.
    """

    applied_index: int = 0
    configuration: Configuration = msgspec.field(default_factory=Configuration)
    history: list[ConfigurationRecord] = []
    sessions: dict[str, SessionRecord] = {}
    teams: dict[str, SetTeam] = {}
    jobs: dict[str, Job] = {}
    tasks: dict[str, Task] = {}
    workers: dict[str, Worker] = {}
    claims: dict[str, Claim] = {}
    workflows: WorkflowTables = msgspec.field(default_factory=WorkflowTables)
    derived: DerivedTables = msgspec.field(default_factory=DerivedTables)
