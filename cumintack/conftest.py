"""Hypothesis profiles: deterministic in CI, random examples for fuzzing."""

import os

import hypothesis

hypothesis.settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.register_profile(
    'fuzz',
    deadline=None,
    max_examples=int(os.environ.get('CUMINTACK_EXAMPLES', '2000')),
    stateful_step_count=80,
    suppress_health_check=list(hypothesis.HealthCheck),
    phases=(
        hypothesis.Phase.explicit,
        hypothesis.Phase.reuse,
        hypothesis.Phase.generate,
    ),
    print_blob=True,
)
hypothesis.settings.load_profile(
    'fuzz' if os.environ.get('CUMINTACK_FUZZ') else 'ci',
)
