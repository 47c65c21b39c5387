"""Exchanges with peers what is known of parts of prompts and of requests."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Iterator, Sequence
from typing import Any

from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.logs import format_parts, get_logger
from amaranthtally.policy import (
    Action,
    PartChanged,
    PartEnd,
    PartKey,
    PartNotice,
    PartSuccess,
    PromptGuard,
    ReportEnds,
    ReportSuccess,
    RequestKey,
    SpreadPartNotices,
)
from amaranthtally.wire import PeerLostError

__all__ = ["PromptExchange"]

log = get_logger()

# Most contents of requests in one line.
MAX_LOGGED_CONTENTS = 8


class PromptExchange:
    """Passes events on to the policy's guard of prompts; carries out its actions."""

    def __init__(
        self,
        guard: PromptGuard,
        connections: Callable[[], PeerConnections],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        carry_out: Callable[[list[Action]], None],
        wake: Callable[[], None],
    ) -> None:
        self._guard = guard
        self._connections = connections
        self._spawn = spawn
        self._carry_out = carry_out
        self._wake = wake
        self._time = asyncio.get_running_loop().time

    @property
    def blocked_count(self) -> int:
        """Number of parts of prompts that are blocked."""
        return self._guard.blocked_count

    @property
    def blocked_requests(self) -> int:
        """Number of requests that are blocked."""
        return self._guard.blocked_requests

    @property
    def is_deciding(self) -> bool:
        """Whether decisions may be due that follow from reports."""
        return self._guard.is_deciding(self._time())

    @property
    def known(self) -> Sequence[PartNotice]:
        """All notices on parts of prompts, to be read by a peer."""
        return self._guard.notices

    async def read_from(self, peer: str) -> int:
        """Take what a peer holds; return how much. Raises ``PeerLostError``."""
        notices = await self._connections().read_part_notices(peer)
        self.notices_received(notices)
        return len(notices)

    # Events

    def notices_received(self, notices: Sequence[PartNotice]) -> None:
        """Handle notices that a peer has passed on."""
        self._carry_out(self._guard.notices_received(self._time(), notices))

    def ends_reported(self, ends: Sequence[PartEnd]) -> None:
        """Handle the ends that a peer reports."""
        log.info("endpoint_ends_received", **_describe(ends))
        self._wake()
        self._guard.ends_reported(self._time(), ends)

    def successes_reported(self, successes: Sequence[PartSuccess]) -> None:
        """Handle the successes that a peer reports."""
        self._guard.successes_reported(successes)

    # Actions

    def log_change(self, action: PartChanged) -> None:
        """Log that a part or a request is blocked, or not any more."""
        notice = action.notice
        state = notice.state.value
        if isinstance(notice.part, RequestKey):
            event, subject = f"request_{state}", {"content": str(notice.part)}
        else:
            event, subject = f"prompt_part_{state}", {"part": f"{notice.part:x}"}
        log.warning(
            event,
            **subject,
            ends=",".join(notice.ends),
            serial=notice.serial,
            source="own" if action.is_own else "peer",
        )

    def spread(self, action: SpreadPartNotices) -> None:
        """Pass notices on to peers, in the background."""
        for peer in action.peers:
            self._spawn(self._spread(peer, action.notices))

    def report_ends(self, action: ReportEnds) -> None:
        """Report ends to a peer, in the background."""
        log.info("endpoint_ends_reported", peer=action.peer, **_describe(action.ends))
        self._spawn(self._report_ends(action.peer, action.ends))

    def report_success(self, action: ReportSuccess) -> None:
        """Report successes to a peer that has asked, in the background."""
        self._spawn(self._report_success(action.peer, action.successes))

    async def _spread(self, peer: str, notices: Sequence[PartNotice]) -> None:
        try:
            await self._connections().spread_part_notices(peer, notices)
        except PeerLostError as error:
            log.info("part_notices_not_passed_on", peer=peer, cause=str(error))

    async def _report_ends(self, peer: str, ends: Sequence[PartEnd]) -> None:
        try:
            await self._connections().report_ends(peer, ends)
        except PeerLostError as error:
            log.info("ends_not_reported", peer=peer, cause=str(error))
            self._carry_out(self._guard.not_reported(self._time(), peer))

    async def _report_success(
        self, peer: str, successes: Sequence[PartSuccess]
    ) -> None:
        try:
            await self._connections().report_successes(peer, successes)
        except PeerLostError as error:
            log.info("successes_not_reported", peer=peer, cause=str(error))


def _describe(ends: Sequence[PartEnd]) -> dict[str, str]:
    """Return the fields of a line on ends: with what, and of which endpoints."""
    parts = dict.fromkeys(end.part for end in ends)
    contents = [part for part in parts if isinstance(part, RequestKey)]
    return {
        "parts": format_parts(_shared(parts)),
        "contents": ",".join(str(key) for key in contents[:MAX_LOGGED_CONTENTS]),
        "endpoints": ",".join(dict.fromkeys(end.endpoint for end in ends)),
    }


def _shared(parts: Iterable[PartKey]) -> Iterator[int]:
    return (part for part in parts if not isinstance(part, RequestKey))
