"""A process of a deployment that can be frozen, terminated or unreachable."""

from collections.abc import Callable

from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.network import Network
from amaranthtally.simulator.servers import Server

__all__ = ["Process"]


class Process:
    """
    One run of a process; each restart creates another object.

    ``is_running`` is false after termination. A frozen process queues its callbacks and
    executes them when it resumes; ``resumed_at`` is the time of the last resumption.
    """

    def __init__(self, data_centre: str, clock: VirtualClock, network: Network) -> None:
        self.data_centre = data_centre
        self.clock = clock
        self.is_running = True
        self.resumed_at = 0.0
        self._network = network
        self._backlog: list[Callable[[], None]] | None = None

    @property
    def is_frozen(self) -> bool:
        """Whether the process is frozen."""
        return self._backlog is not None

    def freeze(self) -> None:
        """Queue all callbacks until the process resumes."""
        self._backlog = []

    def resume(self) -> None:
        """Execute the queued callbacks in order."""
        backlog, self._backlog = self._backlog or [], None
        self.resumed_at = self.clock.now
        for callback in backlog:
            self.execute(callback)

    def terminate(self) -> None:
        """Drop the queued callbacks and ignore all later ones."""
        self.is_running = False
        self._backlog = None

    def execute(self, callback: Callable[[], None]) -> None:
        """
        Execute a callback immediately.

        A frozen process executes it on resumption, a terminated one never.
        """
        if not self.is_running:
            return
        if self._backlog is not None:
            self._backlog.append(callback)
        else:
            callback()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Execute a callback after a delay in seconds."""
        self.clock.after(delay_s, lambda: self.execute(callback))

    # Network

    def reaches(self, data_centre: str) -> bool:
        """Whether messages reach a data centre."""
        return self._network.reaches(self.data_centre, data_centre)

    def reaches_server(self, server: Server) -> bool:
        """Whether messages pass to and from an endpoint."""
        return not server.is_unreachable and self.reaches(server.data_centre)

    def delay_s(self, data_centre: str) -> float:
        """Return the one-way delay to a data centre, in seconds."""
        return self._network.delay_s(self.data_centre, data_centre)

    def send_to(self, data_centre: str, callback: Callable[[], None]) -> None:
        """Send a message: run a callback after the delay to a data centre."""
        self.clock.after(self.delay_s(data_centre), callback)

    def receive_from(self, server: Server, callback: Callable[[], None]) -> None:
        """Receive an endpoint's message after its delay; drop it if unreachable."""
        if self.reaches_server(server):
            self.call_later(self.delay_s(server.data_centre), callback)
