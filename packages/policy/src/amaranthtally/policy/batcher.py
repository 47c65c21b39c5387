"""
Batches the pieces of all entries into calls at an endpoint.

One entry owns each pool site, a pool's endpoints in one data centre, and decides for
all entries which pieces share a call there and in which order.
"""

from collections.abc import Callable, Iterable, Mapping

from amaranthtally.policy.actions import Action, FreeResults, RunPieces
from amaranthtally.policy.batcher_effects import (
    BatcherEffects,
    PieceCall,
    piece_spec,
    requests_to_retry,
)
from amaranthtally.policy.call_filling import CallFill, FillCall, fill_call
from amaranthtally.policy.events import LoadReport
from amaranthtally.policy.input_reads import InputReads
from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.piece_graph import Piece, StoredResult
from amaranthtally.policy.piece_messages import (
    PieceFault,
    PieceJob,
    PieceOutcome,
    PieceReport,
    PiecesEnded,
)
from amaranthtally.policy.piece_queue import QueuedPiece
from amaranthtally.policy.piece_servers import PieceServer, PieceServers
from amaranthtally.policy.result_memory import ActivePools, DropCounts, SiteMemory
from amaranthtally.policy.routes import Pool
from amaranthtally.policy.site_queue import SiteQueue

__all__ = ["Batcher", "BatcherEffects"]

# How long an idle endpoint waits for more pieces before it is sent a call that is not
# full, in seconds. When a call ends, pieces of several requests become due at the next
# pool. Their entries submit them within one network delay of each other. If the first
# were sent alone, the others would wait for a whole call, which takes 0.2 s or more.
LINGER_S = 0.012
# How long pieces stay queued while no endpoint of the site takes calls, in seconds.
# Then they are reported as failed, so that their submitters can try another data
# centre. An endpoint that was only full is tried twice in this time.
GIVE_UP_S = 0.5

OnReport = Callable[[float, str, LoadReport], None]


class Batcher:
    """
    Runs the jobs of all entries at the endpoints that this entry calls.

    An endpoint that computes pieces runs one call at a time, and a call with one piece
    takes about as long as a call with several. So each endpoint is sent one call at a
    time, and the pieces that become due meanwhile share the next call. With a call for
    each request, three endpoints serve thirteen requests a second; with shared calls
    they compute sixty pieces a second.

    One entry calls an endpoint on behalf of all entries. Entries that call it without
    coordination fill its queue and its memory, and it refuses a fifth of their calls.
    """

    def __init__(
        self,
        servers: PieceServers | None = None,
        fill: FillCall = fill_call,
        linger_s: float = LINGER_S,
    ) -> None:
        self._servers = servers or PieceServers()
        self._fill = fill
        self._linger_s = linger_s
        self._queues: dict[tuple[str, str], SiteQueue] = {}
        # Pieces that are queued or in a call; a piece submitted again is not run twice.
        self._pending: set[Piece] = set()
        self._calls: dict[int, PieceCall] = {}
        self._input_reads = InputReads()
        self._next_call = 0
        self._on_report: OnReport | None = None
        self._active = ActivePools()
        self._memory = SiteMemory(self._servers)
        self._drops = DropCounts()
        # Requests that ended while a call with their pieces was in progress. A piece of
        # theirs that the call did not compute is not queued again.
        self._ended: set[str] = set()

    @property
    def active_pools(self) -> ActivePools:
        """The pools for which room and lateness are checked before each call."""
        return self._active

    @property
    def drops(self) -> DropCounts:
        """How many pieces of active pools were not computed, by reason."""
        return self._drops

    @property
    def memory(self) -> SiteMemory:
        """The memory for results at the sites that this entry owns."""
        return self._memory

    @property
    def servers(self) -> PieceServers:
        """The endpoints that compute pieces, with their state."""
        return self._servers

    @property
    def queued_count(self) -> int:
        """How many pieces are queued and not yet in a call."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def is_busy(self) -> bool:
        """Whether ``tick`` has anything to do: queued pieces, or inputs to free."""
        return bool(self._input_reads) or any(self._queues.values())

    def set_report_listener(self, on_report: OnReport) -> None:
        """Pass on the reports of endpoints that name the slowness of their hosts."""
        self._on_report = on_report

    def configure(
        self, endpoints: Mapping[str, Endpoint], pools: Mapping[str, Pool]
    ) -> None:
        """Use these endpoints and pools."""
        self._servers.replace(endpoints, pools)
        self._memory.servers_changed()

    def wait_s(self, now: float, pool: str, data_centre: str, rank: int) -> float:
        """
        Return how long a piece submitted now would wait for its call to begin.

        Counts only queued pieces of the same or a more urgent rank. When all were
        counted, urgent requests avoided a site whose queue held only less urgent
        pieces, although those would have been overtaken.
        """
        servers = self._servers.at_site(pool, data_centre)
        if not servers:
            return 0.0
        queue = self._queues.get((pool, data_centre))
        queued = queue.on_time(now, rank) if queue is not None else 0
        limits = servers[0].limits
        calls = queued // (limits.batch * len(servers))
        best = min(servers, key=lambda server: server.wait_s(now))
        return best.wait_s(now) + calls * best.full_call_time_s(now)

    def slowdown_s(self, now: float, pool: str, data_centre: str) -> float:
        """Return by how much longer than usual a call there is predicted to take."""
        servers = self._servers.at_site(pool, data_centre)
        if not servers:
            return 0.0
        fastest_s = min(server.full_call_time_s(now) for server in servers)
        return fastest_s - servers[0].limits.full_call_time_s()

    # Events

    def queue_jobs(self, now: float, jobs: Iterable[PieceJob]) -> BatcherEffects:
        """
        Queue jobs, and send the calls that are due.

        A job whose piece is queued or running already is ignored: an entry that gets no
        report for too long submits the job again, since the report may have been lost.
        """
        sites: dict[tuple[str, str], None] = {}
        for job in jobs:
            self._ended.discard(job.piece.request_id)
            if job.piece in self._pending:
                continue
            self._queue(now, job)
            sites[job.pool, job.data_centre] = None
        effects = BatcherEffects()
        for site in sites:
            self._flush(now, site, effects)
        return effects

    def call_ended(self, now: float, call_id: int, end: PiecesEnded) -> BatcherEffects:
        """Process the end of a call, and send its endpoint the next one."""
        call = self._calls.pop(call_id)
        self._pending.difference_update(job.piece for job in call.jobs)
        server = self._servers.find(call.endpoint)
        if server is not None:
            self._note_end(now, server, call_id, end)
        effects = BatcherEffects()
        self._forget_ended(call)
        freed = call.complete_requests - self._input_reads.cancel(
            call_id, requests_to_retry(call, end)
        )
        if end.outcomes:
            for job, outcome in zip(call.jobs, end.outcomes, strict=True):
                inputs_freed = job.piece.request_id in freed
                self._process_outcome(
                    now, call.endpoint, server, job, outcome, inputs_freed, effects
                )
        else:
            for job in call.jobs:
                inputs_freed = job.piece.request_id in freed
                self._process_call_failure(now, job, end, inputs_freed, effects)
        site = (call.jobs[0].pool, call.jobs[0].data_centre)
        self._flush(now, site, effects)
        return effects

    def tick(self, now: float) -> BatcherEffects:
        """
        Send the calls that have become due, and free inputs that have been read.

        Jobs at a site where no endpoint takes calls are reported as failed.
        """
        effects = BatcherEffects()
        effects.consumed += self._input_reads.take_read(now)
        for site, queue in self._queues.items():
            if queue:
                self._flush(now, site, effects)
        return effects

    def hand_back(self) -> BatcherEffects:
        """Return queued jobs to their submitters, as this entry shuts down."""
        queued_pieces = [queued for queue in self._queues.values() for queued in queue]
        self._queues.clear()
        self._remove_pending(queued_pieces)
        return self.refuse(queued.job for queued in queued_pieces)

    def refuse(self, jobs: Iterable[PieceJob]) -> BatcherEffects:
        """Return jobs to their submitters, who submit them to another entry."""
        effects = BatcherEffects()
        for job in jobs:
            report = PieceReport(
                job.piece, job.pool, job.data_centre, fault=PieceFault.HANDED_BACK
            )
            effects.reports.setdefault(job.submitter, []).append(report)
        return effects

    def withdraw(self, request_id: str) -> None:
        """Remove the queued pieces of a request that has ended."""
        for queue in self._queues.values():
            self._remove_pending(queue.take_request(request_id))
        if self._active and any(
            job.piece.request_id == request_id
            for call in self._calls.values()
            for job in call.jobs
        ):
            self._ended.add(request_id)

    def withdraw_pieces(self, pieces: Iterable[Piece]) -> list[Piece]:
        """Remove those of these pieces that are queued, and return them."""
        wanted = self._pending.intersection(pieces)
        if not wanted:
            return []
        taken = [
            queued
            for queue in self._queues.values()
            for queued in queue.take(lambda queued: queued.job.piece in wanted)
        ]
        self._remove_pending(taken)
        return [queued.job.piece for queued in taken]

    def drop_jobs_of(self, submitter: str) -> None:
        """Drop the queued jobs of an entry that is gone; nobody reads the results."""
        for site, queue in self._queues.items():
            if site[0] in self._active:
                taken = queue.take(lambda queued: queued.job.submitter == submitter)
                self._remove_pending(taken)
                self._drops.gone += len(taken)

    def free(self, now: float, results: Iterable[StoredResult]) -> list[Action]:
        """Return the actions by which endpoints delete stored results."""
        by_endpoint: dict[str, list[str]] = {}
        stored_s: dict[str, float] = {}
        for result in results:
            name = result.endpoint
            server = self._servers.find(name)
            # An evacuated endpoint is sent nothing; it drops results by itself in time.
            if server is not None and not server.endpoint.is_evacuated:
                result_stored_s = server.note_freed(now, result.handle)
                if result_stored_s:
                    self._memory.result_freed(server.endpoint.pool, result_stored_s)
                stored_s[name] = max(stored_s.get(name, 0.0), result_stored_s)
                by_endpoint.setdefault(name, []).append(result.handle)
        return [
            FreeResults(name, tuple(handles), stored_s[name])
            for name, handles in by_endpoint.items()
        ]

    # Ends of calls

    def _note_end(
        self, now: float, server: PieceServer, call_id: int, end: PiecesEnded
    ) -> None:
        has_all_results = bool(end.outcomes) and all(o.handle for o in end.outcomes)
        server.note_ended(now, call_id, has_all_results)
        if end.running is not None:
            server.note_load(now, end.running, end.queued, end.host_slowness)
            self._pass_on(now, server, end.running, end)
        if end.outcomes:
            server.note_success()
        else:
            server.note_failure(now)

    def _pass_on(
        self, now: float, server: PieceServer, running: int, end: PiecesEnded
    ) -> None:
        """Pass the load that came with the end of a call to the listener."""
        if self._on_report is None or end.host_slowness is None:
            return
        report = LoadReport(
            incarnation=server.endpoint.incarnation,
            running=running,
            queued=end.queued,
            limit=server.limits.slots,
            service_s=0.0,
            backlog_s=0.0,
            leaving=False,
            host_slowness=end.host_slowness,
        )
        self._on_report(now, server.endpoint.id, report)

    def _process_outcome(
        self,
        now: float,
        endpoint: str,
        server: PieceServer | None,
        job: PieceJob,
        outcome: PieceOutcome,
        inputs_freed: bool,
        effects: BatcherEffects,
    ) -> None:
        if outcome.fault is PieceFault.NO_ROOM:
            if server is not None:
                server.note_full(now)
            if not inputs_freed:
                self._queue_again(now, job)
                return
            outcome = PieceOutcome(fault=PieceFault.INPUT_MISSING)
        if server is not None and outcome.handle:
            # A handle belongs to one piece. Named for a second one, that piece's
            # request would be computed from the first one's result.
            if server.is_result_of(now, outcome.handle, job.piece):
                server.note_stored(now, outcome.handle, job.result_bytes)
            else:
                outcome = PieceOutcome(fault=PieceFault.FAILED)
        self._report(now, job, endpoint, outcome, effects, inputs_freed)

    def _process_call_failure(
        self,
        now: float,
        job: PieceJob,
        end: PiecesEnded,
        inputs_freed: bool,
        effects: BatcherEffects,
    ) -> None:
        if end.refused and not inputs_freed:
            self._queue_again(now, job)
        else:
            outcome = PieceOutcome(fault=PieceFault.FAILED)
            self._report(now, job, "", outcome, effects, inputs_freed)

    def _queue(self, now: float, job: PieceJob) -> None:
        site = (job.pool, job.data_centre)
        self._pending.add(job.piece)
        self._queues.setdefault(site, SiteQueue()).add(QueuedPiece(job, now))
        if job.pool in self._active:
            self._memory.piece_queued(now, job)

    def _queue_again(self, now: float, job: PieceJob) -> None:
        """Queue a job that did not run, unless its request ended during the call."""
        if job.piece.request_id in self._ended:
            self._drops.ended += 1
        else:
            self._queue(now, job)

    def _forget_ended(self, ended: PieceCall) -> None:
        """Forget ended requests of which no other call holds pieces."""
        if self._ended:
            calls = self._calls.values()
            running = {job.piece.request_id for call in calls for job in call.jobs}
            self._ended &= running | {job.piece.request_id for job in ended.jobs}

    def _remove_pending(self, queued_pieces: Iterable[QueuedPiece]) -> None:
        pieces = [queued.job.piece for queued in queued_pieces]
        self._pending.difference_update(pieces)
        self._memory.pieces_removed(pieces)

    def _report(
        self,
        now: float,
        job: PieceJob,
        endpoint: str,
        outcome: PieceOutcome,
        effects: BatcherEffects,
        inputs_freed: bool = False,
    ) -> None:
        report = PieceReport(
            job.piece,
            job.pool,
            job.data_centre,
            endpoint,
            outcome.handle,
            outcome.fault,
            self.wait_s(now, job.pool, job.data_centre, job.priority),
            inputs_freed,
            self.slowdown_s(now, job.pool, job.data_centre),
            self._room_wait_s(now, job),
        )
        effects.reports.setdefault(job.submitter, []).append(report)

    def _room_wait_s(self, now: float, job: PieceJob) -> float | None:
        if job.pool not in self._active:
            return None
        return self._memory.room_wait_s(
            now, job.pool, job.data_centre, job.result_bytes
        )

    # Calls

    def _flush(
        self, now: float, site: tuple[str, str], effects: BatcherEffects
    ) -> None:
        """Send each free endpoint a call with the most urgent pieces, if one is due."""
        queue = self._queues.get(site)
        if not queue:
            return
        self._report_fault(now, queue.take_late(now), PieceFault.LATE, effects)
        servers = self._servers.at_site(*site)
        if site[0] in self._active:
            late = self._take_late_everywhere(now, queue, servers)
            self._report_fault(now, late, PieceFault.LATE, effects)
        for server in servers:
            if not queue:
                return
            if server.is_open(now) and self._is_due(now, server, queue):
                fill = self._fill_call(now, server, queue)
                if fill is not None and fill.pieces:
                    effects.actions.append(self._send(now, server, queue, fill))
        self._refuse_crowded_out(now, queue, servers, effects)
        if not any(server.is_usable(now) for server in servers):
            self._give_up(now, queue, not servers, effects)

    def _fill_call(
        self, now: float, server: PieceServer, queue: SiteQueue
    ) -> CallFill | None:
        """Choose pieces for a call; of active pools, only those that end in time."""
        if server.endpoint.pool not in self._active:
            free_bytes = server.free_bytes(now)
            return self._fill(now, queue.pieces, server.limits, free_bytes)
        pieces = self._in_time(now, server, queue)
        if not pieces:
            return None
        return self._memory.fill(now, server, pieces, self._fill)

    def _in_time(
        self, now: float, server: PieceServer, queue: SiteQueue
    ) -> list[QueuedPiece]:
        """Return the pieces that an endpoint, slow as it is now, ends in time."""
        excess_s = _excess_s(now, server)
        if excess_s <= 0:
            return queue.pieces
        return [q for q in queue if q.job.deadline >= now + excess_s]

    def _take_late_everywhere(
        self, now: float, queue: SiteQueue, servers: list[PieceServer]
    ) -> list[QueuedPiece]:
        """Remove and return the pieces that no endpoint here ends in time."""
        excesses_s = [_excess_s(now, s) for s in servers if s.is_usable(now)]
        least_s = min(excesses_s, default=0.0)
        if least_s <= 0:
            return []
        late = queue.take(lambda queued: queued.job.deadline < now + least_s)
        self._drops.late += len(late)
        return late

    def _is_due(self, now: float, server: PieceServer, queue: SiteQueue) -> bool:
        """Whether the queue fills a call, or a piece has waited for the linger time."""
        if len(queue) >= server.limits.batch:
            return True
        return any(now - queued.queued_at >= self._linger_s for queued in queue)

    def _send(
        self,
        now: float,
        server: PieceServer,
        queue: SiteQueue,
        fill: CallFill,
    ) -> RunPieces:
        self._next_call += 1
        queue.remove(fill.pieces)
        self._memory.pieces_removed(queued.job.piece for queued in fill.pieces)
        jobs = tuple(queued.job for queued in fill.pieces)
        is_only_caller = server.is_only_caller(now)
        timeout_s = server.timeout_s(now, len(jobs))
        result_bytes = sum(job.result_bytes for job in jobs)
        server.note_sent(now, self._next_call, len(jobs), result_bytes)
        complete_requests = (
            self._input_reads.add(now, self._next_call, jobs)
            if is_only_caller
            else frozenset()
        )
        self._calls[self._next_call] = PieceCall(
            server.endpoint.id, jobs, complete_requests
        )
        specs = tuple(piece_spec(job) for job in jobs)
        return RunPieces(
            self._next_call, server.endpoint.id, specs, timeout_s, fill.details
        )

    def _refuse_crowded_out(
        self,
        now: float,
        queue: SiteQueue,
        servers: list[PieceServer],
        effects: BatcherEffects,
    ) -> None:
        """
        Refuse late requests at once if requests on time fill the next calls.

        If they stayed queued, they would only be refused when their deadline passes.
        Their callers would get no answer for seconds and could not retry when there
        is capacity again. Requests that were started stay queued, as the pieces
        that have been computed for them would be wasted.
        """
        capacity = sum(server.limits.batch for server in servers)
        if queue.on_time(now) >= capacity:
            late = self._take_crowded_out(now, queue)
            self._report_fault(now, late, PieceFault.LATE, effects)

    def _take_crowded_out(self, now: float, queue: SiteQueue) -> list[QueuedPiece]:
        return queue.take_late_unstarted(now)

    def _give_up(
        self, now: float, queue: SiteQueue, at_once: bool, effects: BatcherEffects
    ) -> None:
        """Report jobs that no endpoint takes as failed, so that they run elsewhere."""
        least_wait_s = 0.0 if at_once else GIVE_UP_S
        given_up = queue.take(lambda queued: now - queued.queued_at >= least_wait_s)
        self._report_fault(now, given_up, PieceFault.FAILED, effects)

    def _report_fault(
        self,
        now: float,
        queued_pieces: list[QueuedPiece],
        fault: PieceFault,
        effects: BatcherEffects,
    ) -> None:
        self._remove_pending(queued_pieces)
        for queued in queued_pieces:
            self._report(now, queued.job, "", PieceOutcome(fault=fault), effects)


def _excess_s(now: float, server: PieceServer) -> float:
    """Return by how much longer than usual a full call takes, in seconds."""
    return server.limits.full_call_time_s() * (server.slowness(now) - 1.0)
