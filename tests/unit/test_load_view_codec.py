"""Loads of endpoints in the messages between gateways."""

import pytest

from amaranthtally.policy import LoadFigures, LoadMessage, SharedReport
from amaranthtally.policy.load_messages import FIGURES_BYTES
from amaranthtally.wire.gateway_codec import gateway_schema
from amaranthtally.wire.load_view_codec import read_load_message, write_load_message

REPORT = SharedReport(1.25, 7, 0.04)


def written(*figures):
    builder = gateway_schema.LoadMessage.new_message()
    write_load_message(builder, LoadMessage(2**62, 9, 8, 3, "north/0", figures))
    return builder


def test_a_message_arrives_as_it_was_sent():
    """Guards against figures that are lost or rounded down on the way."""
    figures = (LoadFigures(2**32 - 1, 3, 640, REPORT), LoadFigures(0, 0, 65))
    expected = (figures[0], LoadFigures(0, 0, 128))
    message = read_load_message(written(*figures))
    assert message == LoadMessage(2**62, 9, 8, 3, "north/0", expected)


@pytest.mark.parametrize("number", [-5, 10**12, 1e300])
def test_absurd_figures_are_bounded(number):
    """Guards against a figure that keeps a whole message from being sent."""
    report = SharedReport(float(number), int(number), float(number))
    (figures,) = read_load_message(
        written(LoadFigures(1, int(number), int(number), report))
    ).figures
    assert 0 <= figures.calls <= 65_535
    assert figures.report.slowness > 0.0


def test_the_figures_of_an_endpoint_have_the_size_that_is_budgeted():
    """Guards against messages that are larger than what is counted for them."""
    one, many = (len(written(*[LoadFigures(1, 1, 1)] * n).to_bytes()) for n in (1, 11))
    assert many - one == 10 * FIGURES_BYTES
