"""Tests of the timeline: causal order and missing processes."""

from hypothesis import given
from hypothesis import strategies as st

from cumintack.coordination.timeline import merge_events
from cumintack.state.events import (
    Event,
    EventBuffer,
    HybridTimestamp,
    get_events,
    merge_timestamp,
    record_event,
)


@given(
    steps=st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(0, 50)),
        max_size=40,
    ),
)
def test_effects_follow_causes(steps: list[tuple[int, int, int]]) -> None:
    """A receive event sorts after its send event, however clocks differ."""
    buffers = [EventBuffer(f'p{number}', 1000) for number in range(3)]
    clocks = [1000, 0, 500000]
    pairs: list[tuple[Event, Event]] = []
    for source, target, passed_ms in steps:
        clocks[source] += passed_ms
        sent = record_event(buffers[source], clocks[source], 'sent', 'x')
        buffer = buffers[target]
        buffer.stamp = merge_timestamp(
            buffer.stamp,
            sent.stamp,
            clocks[target],
        )
        received = record_event(buffer, clocks[target], 'received', 'x')
        pairs.append((sent, received))
    events = [
        event for buffer in buffers for event in get_events(buffer, '', 999)
    ]
    order = list(merge_events(events, (), 9999).events)
    for sent, received in pairs:
        assert order.index(sent) < order.index(received)


def test_missing_processes_are_named() -> None:
    """Processes that did not reply are listed, and events are unique."""
    event = Event(HybridTimestamp(1), 'a', 'started', 'x')
    timeline = merge_events([event, event], ('b',), 10)
    assert timeline.events == (event,)
    assert timeline.missing == ('b',)


def test_full_buffer_drops_the_oldest_events() -> None:
    """A full event buffer keeps the latest events."""
    buffer = EventBuffer('p', 3)
    for number in range(5):
        record_event(buffer, number, f'event{number}', 'x')
    names = [event.name for event in get_events(buffer, '', 10)]
    assert names == ['event2', 'event3', 'event4']
