"""Soak test: ``python -m soak --seed N``, or ``--count N`` for new seeds.

It exits with status 1 if an invariant was violated, and keeps the logs of
such a run.
"""

import pathlib
import secrets
import shutil
import sys

import click

from soak.runner import run_seed

SEED_BITS = 32


@click.command()
@click.option(
    '--seed',
    'seeds',
    multiple=True,
    type=int,
    help='Seed to run; may be given several times.',
)
@click.option(
    '--count',
    default=1,
    help='Number of new random seeds, if no seed is given.',
)
@click.option(
    '--seconds', default=20.0, help='How long faults are injected, in seconds.'
)
@click.option(
    '--folder',
    default=pathlib.Path('target/soak'),
    type=click.Path(path_type=pathlib.Path),
    help='Folder for the logs of runs; only failed runs keep theirs.',
)
def main(
    seeds: tuple[int, ...],
    count: int,
    seconds: float,
    folder: pathlib.Path,
) -> None:
    """Run seeds in sequence and print the result of each."""
    run_seeds = seeds or [secrets.randbits(SEED_BITS) for _ in range(count)]
    failed = 0
    for seed in run_seeds:
        run_folder = folder / str(seed)
        shutil.rmtree(run_folder, ignore_errors=True)
        run_folder.mkdir(parents=True)
        outcome = run_seed(run_folder.resolve(), seed, seconds)
        click.echo(
            f'seed {seed}: {outcome.accepted_count} accepted, '
            f'{outcome.start_count} runs, {outcome.fault_count} faults, '
            f'{outcome.finish_s:.0f} s to finish, '
            f'{len(outcome.violations)} violations',
        )
        for violation in outcome.violations:
            click.echo(f'  {violation}')
        failed += bool(outcome.violations)
        if not outcome.violations:
            shutil.rmtree(run_folder)
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
