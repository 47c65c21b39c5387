"""Exchanges with peers what is known of the parts of prompts."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.logs import format_parts, get_logger
from amaranthtally.policy import (
    Action,
    PartChanged,
    PartEnd,
    PartNotice,
    PartState,
    PartSuccess,
    PromptGuard,
    ReportEnds,
    ReportSuccess,
    SpreadPartNotices,
)
from amaranthtally.wire import PeerLostError

__all__ = ["PromptExchange"]

log = get_logger()


class PromptExchange:
    """Passes events on to the policy's guard of prompts; carries out its actions."""

    def __init__(
        self,
        guard: PromptGuard,
        connections: Callable[[], PeerConnections],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        carry_out: Callable[[list[Action]], None],
    ) -> None:
        self._guard = guard
        self._connections = connections
        self._spawn = spawn
        self._carry_out = carry_out
        self._time = asyncio.get_running_loop().time

    @property
    def blocked_count(self) -> int:
        """Number of parts of prompts that are blocked."""
        return self._guard.blocked_count

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
        self._guard.ends_reported(self._time(), ends)

    def successes_reported(self, successes: Sequence[PartSuccess]) -> None:
        """Handle the successes that a peer reports."""
        self._guard.successes_reported(successes)

    # Actions

    def log_change(self, action: PartChanged) -> None:
        """Log that a part is blocked, or not any more."""
        notice = action.notice
        is_blocked = notice.state is PartState.BLOCKED
        log.warning(
            "prompt_part_blocked" if is_blocked else "prompt_part_cleared",
            part=format_parts([notice.part]),
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
        log.info(
            "endpoint_ends_reported",
            peer=action.peer,
            parts=format_parts(end.part for end in action.ends),
            endpoints=",".join(dict.fromkeys(end.endpoint for end in action.ends)),
        )
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
