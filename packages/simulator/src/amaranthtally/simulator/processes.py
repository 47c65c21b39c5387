"""A process of a deployment: it can stand still, be killed, and be out of reach."""

from collections.abc import Callable

from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.network import Network
from amaranthtally.simulator.servers import Server

__all__ = ["Process"]


class Process:
    """
    One process from its start to its end; another start is another object.

    ``up`` is false once it is gone. A frozen one does nothing until it is thawed, and
    then all that came; ``thawed_at`` is when that was.
    """

    def __init__(self, place: str, clock: VirtualClock, network: Network) -> None:
        self.place = place
        self.clock = clock
        self.up = True
        self.thawed_at = 0.0
        self._network = network
        self._backlog: list[Callable[[], None]] | None = None

    @property
    def is_frozen(self) -> bool:
        """Whether it stands still."""
        return self._backlog is not None

    def freeze(self) -> None:
        """Stand still; what comes waits."""
        self._backlog = []

    def thaw(self) -> None:
        """Do all that waited."""
        backlog, self._backlog = self._backlog or [], None
        self.thawed_at = self.clock.now
        for work in backlog:
            self.do(work)

    def end(self) -> None:
        """Do nothing any more."""
        self.up = False
        self._backlog = None

    def do(self, work: Callable[[], None]) -> None:
        """Do something at once, or when the process moves again, or never."""
        if not self.up:
            return
        if self._backlog is not None:
            self._backlog.append(work)
        else:
            work()

    def later(self, delay_s: float, work: Callable[[], None]) -> None:
        """Do something after a delay in seconds."""
        self.clock.after(delay_s, lambda: self.do(work))

    # Reach

    def reaches(self, place: str) -> bool:
        """Whether messages go to a data centre."""
        return self._network.reaches(self.place, place)

    def reaches_server(self, server: Server) -> bool:
        """Whether messages go to an endpoint, and back."""
        return not server.dark and self.reaches(server.place)

    def delay_s(self, place: str) -> float:
        """Return how long a message to a data centre takes, in seconds."""
        return self._network.delay_s(self.place, place)

    def send_to(self, place: str, work: Callable[[], None]) -> None:
        """Let a message arrive in a data centre."""
        self.clock.after(self.delay_s(place), work)

    def hear_from(self, server: Server, work: Callable[[], None]) -> None:
        """Take an endpoint's message after its way, if there is one."""
        if self.reaches_server(server):
            self.later(self.delay_s(server.place), work)
