"""Days that were played, a line each in a file, so that an experiment can go on."""

from collections.abc import Iterator
from hashlib import blake2b
from os import SEEK_END
from pathlib import Path

import msgspec

from amaranthtally.simulator.days import DayResult
from amaranthtally.simulator.deployment import Deployment

__all__ = ["DayTrial", "PlayedDay", "TrialLog", "deployment_digest"]

DIGEST_BYTES = 8


class DayTrial(msgspec.Struct, frozen=True):
    """One day to be played: a deployment by its digest, a seed and a variant."""

    deployment: str
    digest: str
    seed: int
    variant: str


class PlayedDay(msgspec.Struct, frozen=True):
    """A trial and what came of it."""

    trial: DayTrial
    day: DayResult


class TrialLog:
    """Keeps played days in a file that is only ever added to."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._decode = msgspec.json.Decoder(PlayedDay)

    def read(self) -> dict[DayTrial, DayResult]:
        """Return the days that were played before; a line cut short is left out."""
        return {played.trial: played.day for played in self._lines()}

    def add(self, played: PlayedDay) -> None:
        """Add a played day, on a line of its own also after one cut short."""
        line = msgspec.json.encode(played) + b"\n"
        with self._path.open("ab") as file:
            file.write(line if self._ends_whole() else b"\n" + line)

    def _ends_whole(self) -> bool:
        with self._path.open("rb") as file:
            size = file.seek(0, SEEK_END)
            if not size:
                return True
            file.seek(size - 1)
            return file.read(1) == b"\n"

    def _lines(self) -> Iterator[PlayedDay]:
        if not self._path.exists():
            return
        for line in self._path.read_bytes().splitlines():
            try:
                yield self._decode.decode(line)
            except msgspec.DecodeError:
                # The last one, where the process was killed as it wrote.
                continue


def deployment_digest(deployment: Deployment) -> str:
    """Return what tells a deployment from every other one."""
    encoded = msgspec.json.encode(deployment)
    return blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()
