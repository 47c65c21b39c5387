"""Log of simulated days, one per line, from which an experiment can resume."""

from collections.abc import Iterator
from hashlib import blake2b
from os import SEEK_END
from pathlib import Path

import msgspec

from amaranthtally.simulator.days import DayResult
from amaranthtally.simulator.deployment import Deployment

__all__ = ["DayTrial", "SimulatedDay", "TrialLog", "deployment_digest"]

DIGEST_BYTES = 8


class DayTrial(msgspec.Struct, frozen=True):
    """One day to simulate: a deployment with its digest, a seed and a variant."""

    deployment: str
    digest: str
    seed: int
    variant: str


class SimulatedDay(msgspec.Struct, frozen=True):
    """A trial and the result of its day."""

    trial: DayTrial
    day: DayResult


class TrialLog:
    """Append-only file of simulated days in JSON Lines format."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._decode = msgspec.json.Decoder(SimulatedDay)

    def read(self) -> dict[DayTrial, DayResult]:
        """Return the logged days; incomplete lines are ignored."""
        return {simulated.trial: simulated.day for simulated in self._lines()}

    def add(self, simulated: SimulatedDay) -> None:
        """Append a simulated day on a new line, even if the last line is incomplete."""
        line = msgspec.json.encode(simulated) + b"\n"
        with self._path.open("ab") as file:
            file.write(line if self._ends_with_newline() else b"\n" + line)

    def _ends_with_newline(self) -> bool:
        with self._path.open("rb") as file:
            size = file.seek(0, SEEK_END)
            if not size:
                return True
            file.seek(size - 1)
            return file.read(1) == b"\n"

    def _lines(self) -> Iterator[SimulatedDay]:
        if not self._path.exists():
            return
        for line in self._path.read_bytes().splitlines():
            try:
                yield self._decode.decode(line)
            except msgspec.DecodeError:
                # The line is incomplete: the process was killed while writing it.
                continue


def deployment_digest(deployment: Deployment) -> str:
    """Return a digest that identifies the content of a deployment."""
    encoded = msgspec.json.encode(deployment)
    return blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()
