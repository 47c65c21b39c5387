"""Has the pieces of requests computed: chooses where, and retries after failures."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from amaranthtally.policy.actions import (
    Action,
    FreeAtPeer,
    ReportToPeer,
    SubmitToPeer,
    WithdrawAtPeer,
)
from amaranthtally.policy.batcher import Batcher, BatcherEffects
from amaranthtally.policy.first_events import DEFAULT_S
from amaranthtally.policy.home_regions import Regions
from amaranthtally.policy.invariants import ensure
from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.piece_graph import Piece, PieceGraph, StoredResult
from amaranthtally.policy.piece_messages import (
    PieceFault,
    PieceJob,
    PieceReport,
    PiecesEnded,
)
from amaranthtally.policy.piece_mover import PieceMover
from amaranthtally.policy.pool_sites import Peer, PoolSites
from amaranthtally.policy.result_memory import latest_call_start
from amaranthtally.policy.result_releaser import ResultReleaser
from amaranthtally.policy.routes import PieceStage, Pool
from amaranthtally.policy.stage_plans import StagePlans
from amaranthtally.policy.staged_requests import CoordinatorEffects, StagedRequest
from amaranthtally.policy.submitted_pieces import SubmittedPiece, SubmittedPieces

__all__ = ["CoordinatorEffects", "PieceCoordinator"]

# A request fails once one of its pieces has failed this many times. The three failures
# before allow for an endpoint that went down, an owner that did, and a second endpoint.
MAX_FAILURES = 4
# A piece without a report is submitted again after twice its predicted time plus this
# many seconds, to the same data centre. The owner may only be busy: if the entry chose
# another owner instead, the endpoint, which is full already, would get a second caller,
# and the more of them the fuller it is.
REPORT_TIMEOUT_S = 2.0

# The serial of withdrawals of jobs that are submitted elsewhere already, or ended.
NO_MOVE = 0
NO_FIXED_DATA_CENTRES: Mapping[Piece, str] = {}


class PieceCoordinator:
    """
    Follows the stage graphs of an entry's requests and has their pieces computed.

    All pieces of a stage, or of a part of a large one, run in one data centre, where
    they wait least. Traffic between data centres is paid for by the byte, and the
    engine that reads the results is chosen close to them.
    """

    def __init__(
        self,
        batcher: Batcher | None = None,
        sites: PoolSites | None = None,
        build_plans: Callable[[PoolSites, Batcher], StagePlans] = StagePlans,
    ) -> None:
        self._batcher = batcher or Batcher()
        self._sites = sites or PoolSites()
        self._releaser = ResultReleaser(self._batcher, self._sites)
        self._plans = build_plans(self._sites, self._batcher)
        self._requests: dict[str, StagedRequest] = {}
        self._submitted = SubmittedPieces()
        self._mover = PieceMover(
            self._batcher, self._sites, self._plans, self._submitted, self._requests
        )

    @property
    def batcher(self) -> Batcher:
        """Runs the jobs of all entries at the sites that this entry owns."""
        return self._batcher

    @property
    def plans(self) -> StagePlans:
        """Predicts how long stages take, and chooses where they run."""
        return self._plans

    def configure(
        self,
        name: str,
        region: str,
        data_centre: str,
        endpoints: Mapping[str, Endpoint],
        pools: Mapping[str, Pool],
    ) -> None:
        """Use these endpoints and pools, and this entry's name and location."""
        self._plans.configure(pools)
        self._sites.configure(name, region, data_centre)
        self._batcher.configure(endpoints, pools)

    def replace_peers(self, peers: Iterable[Peer]) -> None:
        """Replace the set of other live entries."""
        self._sites.replace_peers(peers)

    def pool_reports_speed(self, pool: str) -> None:
        """
        Check room and lateness for a pool's pieces, and move waiting ones, from now on.

        Called once the shared view of loads covers the pool, and for a report of a
        site's owner that names the wait for room.
        """
        self._batcher.active_pools.add(pool)

    def owner(self, now: float, pool: str, data_centre: str) -> str:
        """Return the name of a site's owner, empty if it is this entry."""
        return self._sites.owner(now, pool, data_centre)

    def inputs_of(self, request_id: str) -> tuple[StoredResult, ...]:
        """Return the stored results that a request itself reads."""
        staged = self._requests.get(request_id)
        return () if staged is None else staged.graph.request_inputs()

    # Events

    def begin(
        self,
        now: float,
        request_id: str,
        stages: tuple[PieceStage, ...],
        counts: tuple[int, ...],
        key: str,
        objective: float,
        deadline: float,
        priority: int,
        reader: str = "",
        engine_s: float = DEFAULT_S,
        regions: Regions | None = None,
    ) -> CoordinatorEffects:
        """
        Start a request's stages by submitting the pieces that are due first.

        ``key`` is the input of the first stages. ``objective`` and ``deadline`` are
        time stamps in seconds. ``reader`` is the data centre in which the request
        itself is expected to run, and ``engine_s`` how long its engine usually takes
        until the first event, in seconds. With ``regions`` its pieces run there only.
        """
        ensure(
            request_id not in self._requests, "the pieces of a request are started once"
        )
        graph = PieceGraph(request_id, stages, counts)
        staged = StagedRequest(
            graph, key, objective, deadline, priority, reader, engine_s, regions
        )
        self._requests[request_id] = staged
        return self._start_due(now, staged)

    def confine(self, request_id: str, regions: Regions | None) -> None:
        """Run the pieces of a request that are not submitted yet in these regions."""
        staged = self._requests.get(request_id)
        if staged is not None:
            staged.regions = regions

    def recompute_inputs(
        self, now: float, request_id: str, has_begun: bool = False
    ) -> CoordinatorEffects:
        """
        Recompute the results that a request reads, as one is not stored any more.

        With ``has_begun`` its caller has events of the response already.
        """
        staged = self._requests[request_id]
        staged.has_begun = has_begun
        freed = self._releaser.free(now, staged.graph.invalidate_request_inputs())
        effects = self._start_due(now, staged)
        effects.actions[:0] = freed
        return effects

    def call_ended(
        self, now: float, call_id: int, end: PiecesEnded
    ) -> CoordinatorEffects:
        """Process the end of a call of this entry."""
        effects = CoordinatorEffects()
        self._add_batcher_effects(
            now, self._batcher.call_ended(now, call_id, end), effects
        )
        return effects

    def accept_jobs(
        self, now: float, submitter: str, jobs: Iterable[PieceJob]
    ) -> CoordinatorEffects:
        """Queue the jobs that another entry submits, or return them to it."""
        effects = CoordinatorEffects()
        peer_jobs = [replace(job, submitter=submitter) for job in jobs]
        # A submitter may not know yet that this entry shuts down, or that it has just
        # restarted and has no configuration. If the jobs were queued, they would be
        # reported as failed, and all entries would avoid the site for a while.
        can_run = not self._sites.is_leaving and self._plans.is_configured
        batcher_effects = (
            self._batcher.queue_jobs(now, peer_jobs)
            if can_run
            else self._batcher.refuse(peer_jobs)
        )
        self._add_batcher_effects(now, batcher_effects, effects)
        return effects

    def withdraw_jobs(self, pieces: Iterable[Piece]) -> tuple[Piece, ...]:
        """Drop those of another entry's jobs that are still queued; return them."""
        return tuple(self._batcher.withdraw_pieces(pieces))

    def withdrawal_answered(
        self, now: float, peer: str, serial: int, withdrawn: Iterable[Piece]
    ) -> CoordinatorEffects:
        """Submit the jobs that a peer has withdrawn to where they are moved."""
        effects = CoordinatorEffects()
        targets = self._mover.answered(peer, serial, withdrawn)
        self._resubmit(now, targets, effects, False, targets)
        return effects

    def withdrawal_failed(
        self, now: float, peer: str, serial: int, pieces: Iterable[Piece]
    ) -> CoordinatorEffects:
        """Submit jobs again to a peer that may have withdrawn them."""
        effects = CoordinatorEffects()
        targets = self._mover.failed(now, peer, serial, pieces)
        self._resubmit(now, targets, effects, False, targets)
        return effects

    def take_reports(
        self, now: float, reports: Iterable[PieceReport]
    ) -> CoordinatorEffects:
        """Process reports on jobs that this entry submitted."""
        effects = CoordinatorEffects()
        self._process_reports(now, reports, effects)
        return effects

    def free_for_peer(
        self, now: float, results: Iterable[StoredResult], ended: str = ""
    ) -> list[Action]:
        """
        Free results for the entry that had them computed.

        ``ended`` is the id of a request that has ended, whose queued jobs are dropped.
        """
        if ended:
            self._batcher.withdraw(ended)
        return self._batcher.free(now, results)

    def submitter_lost(self, peer: str) -> None:
        """Drop the queued jobs of a peer that takes no reports on them."""
        self._batcher.drop_jobs_of(peer)

    def peer_failed(self, now: float, peer: str) -> CoordinatorEffects:
        """Submit the unreported jobs of a peer that failed to another entry."""
        self._sites.peer_failed(now, peer)
        effects = CoordinatorEffects()
        self._resubmit(now, self._submitted.submitted_to(peer), effects)
        return effects

    def peer_recovered(self, peer: str) -> None:
        """Submit jobs to a peer again, as it answers and is ready."""
        self._sites.peer_recovered(peer)

    def tick(self, now: float) -> CoordinatorEffects:
        """Send the calls that are due, and resubmit pieces whose report is overdue."""
        effects = CoordinatorEffects()
        overdue = self._submitted.overdue(now)
        # The piece may still be queued there. In another data centre, it would be
        # computed a second time.
        fixed = {piece: submitted.data_centre for piece, submitted in overdue.items()}
        self._resubmit(now, overdue, effects, fixed_data_centres=fixed)
        self._move_due(now, effects)
        self._add_batcher_effects(now, self._batcher.tick(now), effects)
        return effects

    def leave(self, now: float) -> CoordinatorEffects:
        """Give up ownership of all sites, and return jobs to their submitters."""
        self._sites.leave()
        effects = CoordinatorEffects()
        self._add_batcher_effects(now, self._batcher.hand_back(), effects)
        return effects

    @property
    def moving_count(self) -> int:
        """Number of jobs that are being withdrawn to run elsewhere."""
        return len(self._mover.moves)

    @property
    def awaited_peers(self) -> frozenset[str]:
        """The peers that still owe a report on a submitted job."""
        return self._submitted.owners

    def unavailable_peers(self, now: float) -> frozenset[str]:
        """Return the live peers that no jobs are submitted to, as they failed."""
        return self._sites.unavailable_peers(now)

    def close(self, now: float, request_id: str) -> list[Action]:
        """Drop a request that has ended, with its queued jobs and stored results."""
        staged = self._requests.pop(request_id, None)
        if staged is None:
            return []
        self._batcher.withdraw(request_id)
        self._mover.moves.cancel_request(request_id)
        # The peers drop the request's queued jobs, whose results nobody would read.
        ended: list[Action] = [
            FreeAtPeer(owner, (), request_id)
            for owner in self._submitted.remove_request(request_id)
        ]
        return ended + self._releaser.free(now, staged.graph.take_results())

    def free_inputs(self, now: float, request_id: str) -> list[Action]:
        """Free the stored results of a request, once its engine has read them."""
        staged = self._requests.get(request_id)
        return (
            []
            if staged is None
            else self._releaser.free(now, staged.graph.take_results())
        )

    # Submission of jobs

    def _start_due(self, now: float, staged: StagedRequest) -> CoordinatorEffects:
        effects = CoordinatorEffects()
        self._submit_due(now, staged, effects)
        return effects

    def _submit_due(
        self, now: float, staged: StagedRequest, effects: CoordinatorEffects
    ) -> None:
        self._submit(now, staged, self._plans.take_due(staged.graph), effects)
        if staged.graph.is_done:
            effects.ready.append(staged.graph.request_id)

    def _submit(
        self,
        now: float,
        staged: StagedRequest,
        pieces: list[Piece],
        effects: CoordinatorEffects,
        fixed_data_centres: Mapping[Piece, str] = NO_FIXED_DATA_CENTRES,
    ) -> None:
        """Submit pieces; those in ``fixed_data_centres`` run in the given one."""
        by_owner: dict[str, list[PieceJob]] = {}
        data_centres: dict[tuple[int, int], str | None] = {}
        for piece in pieces:
            part = (piece.stage, self._plans.part_index(staged.graph, piece))
            if part not in data_centres:
                fixed = fixed_data_centres.get(piece)
                data_centres[part] = fixed or self._choose_data_centre(
                    now, staged, piece.stage
                )
            data_centre = data_centres[part]
            if data_centre is None:
                effects.failed.append(piece.request_id)
                return
            job = self._job_for(now, staged, piece, data_centre)
            if job.deadline < now + self._later_waits_s(now, staged, piece.stage):
                self._batcher.drops.late += job.deadline >= now
                effects.late.append(piece.request_id)
                return
            owner = self._sites.owner(now, job.pool, job.data_centre)
            by_owner.setdefault(owner, []).append(job)
            report_due = self._report_due(now, job) if owner else float("inf")
            self._submitted.add(
                piece,
                SubmittedPiece(owner, job.pool, job.data_centre, report_due, now),
            )
            staged.graph.mark_running(piece)
        for owner, jobs in by_owner.items():
            if owner:
                effects.actions.append(SubmitToPeer(owner, tuple(jobs)))
            else:
                self._add_batcher_effects(
                    now, self._batcher.queue_jobs(now, jobs), effects
                )

    def _choose_data_centre(
        self, now: float, staged: StagedRequest, stage: int
    ) -> str | None:
        on_time_by = staged.objective - staged.engine_s
        return self._plans.choose_data_centre(
            now,
            staged.graph,
            stage,
            staged.reader,
            on_time_by,
            staged.priority,
            staged.regions,
        )

    def _job_for(
        self, now: float, staged: StagedRequest, piece: Piece, data_centre: str
    ) -> PieceJob:
        stage = staged.graph.stages[piece.stage]
        remaining_time_s = self._plans.remaining_time_s(staged.graph, piece.stage)
        deadline = staged.deadline - remaining_time_s
        if stage.pool in self._batcher.active_pools:
            deadline = latest_call_start(
                staged.objective,
                staged.deadline,
                remaining_time_s,
                staged.has_begun or staged.graph.is_started,
            )
        piece_share_s = self._plans.piece_share_s(stage.pool)
        self._sites.note_submitted(
            now, stage.pool, data_centre, piece_share_s, staged.priority
        )
        return PieceJob(
            piece,
            stage.pool,
            data_centre,
            stage.result_bytes,
            staged.objective - remaining_time_s - staged.engine_s,
            deadline,
            staged.priority,
            "" if stage.after else staged.key,
            staged.graph.inputs_of(piece),
            staged.graph.count(piece.stage),
            staged.graph.is_started,
        )

    def _later_waits_s(self, now: float, staged: StagedRequest, stage: int) -> float:
        """Return how much longer than when idle the later stages take at the least."""
        pool = staged.graph.stages[stage].pool
        if pool not in self._batcher.active_pools or not staged.graph.readers(stage):
            return 0.0
        rest_s = self._plans.rest_time_s(
            now, staged.graph, stage, staged.priority, staged.regions
        )
        return rest_s - self._plans.idle_rest_time_s(staged.graph, stage)

    def _resubmit(
        self,
        now: float,
        pieces: Iterable[Piece],
        effects: CoordinatorEffects,
        failed: bool = True,
        fixed_data_centres: Mapping[Piece, str] = NO_FIXED_DATA_CENTRES,
    ) -> None:
        by_request: dict[str, list[Piece]] = {}
        by_old_owner: dict[str, list[Piece]] = {}
        for piece in tuple(pieces):
            old = self._submitted.remove(piece)
            self._mover.moves.cancel(piece)
            if old is not None and old.owner and old.pool in self._batcher.active_pools:
                by_old_owner.setdefault(old.owner, []).append(piece)
            staged = self._requests.get(piece.request_id)
            if staged is None or piece.request_id in effects.failed:
                continue
            if staged.graph.mark_requeued(piece, failed) >= MAX_FAILURES:
                effects.failed.append(piece.request_id)
            elif staged.graph.has_inputs(piece):
                by_request.setdefault(piece.request_id, []).append(piece)
            else:
                effects.actions += self._releaser.free(
                    now, staged.graph.invalidate_inputs_of(piece)
                )
        for request_id, request_pieces in by_request.items():
            if request_id not in effects.failed:
                self._submit(
                    now,
                    self._requests[request_id],
                    request_pieces,
                    effects,
                    fixed_data_centres,
                )
        self._withdraw_at_old_owners(by_old_owner, effects)

    def _withdraw_at_old_owners(
        self, by_owner: Mapping[str, list[Piece]], effects: CoordinatorEffects
    ) -> None:
        """Withdraw pieces that another entry runs now where they may be queued."""
        for owner, pieces in by_owner.items():
            new = [self._submitted.find(piece) for piece in pieces]
            left = tuple(
                piece
                for piece, submitted in zip(pieces, new, strict=True)
                if submitted is None or submitted.owner != owner
            )
            if left:
                effects.actions.append(WithdrawAtPeer(owner, NO_MOVE, left))

    def _move_due(self, now: float, effects: CoordinatorEffects) -> None:
        """Withdraw the jobs that are moved now, and submit those of own sites."""
        for withdrawal in self._mover.due(now):
            if withdrawal.owner:
                effects.actions.append(
                    WithdrawAtPeer(
                        withdrawal.owner, withdrawal.serial, withdrawal.pieces
                    )
                )
                continue
            withdrawn = self._batcher.withdraw_pieces(withdrawal.pieces)
            targets = self._mover.answered("", withdrawal.serial, withdrawn)
            self._resubmit(now, targets, effects, False, targets)

    def _report_due(self, now: float, job: PieceJob) -> float:
        wait_s = self._plans.wait_s(now, job.pool, job.data_centre, job.priority)
        return (
            now
            + 2.0 * (wait_s + self._plans.full_call_time_s(job.pool))
            + REPORT_TIMEOUT_S
        )

    # Reports

    def _add_batcher_effects(
        self, now: float, batcher_effects: BatcherEffects, effects: CoordinatorEffects
    ) -> None:
        effects.actions += batcher_effects.actions
        effects.actions += self._releaser.free(now, batcher_effects.consumed)
        for submitter, reports in batcher_effects.reports.items():
            if submitter:
                effects.actions.append(ReportToPeer(submitter, tuple(reports)))
            else:
                self._process_reports(now, reports, effects)

    def _process_reports(
        self, now: float, reports: Iterable[PieceReport], effects: CoordinatorEffects
    ) -> None:
        reported_requests: dict[str, None] = {}
        for report in reports:
            submitted = self._submitted.remove(report.piece)
            self._mover.moves.cancel(report.piece)
            staged = self._requests.get(report.piece.request_id)
            if staged is None or submitted is None:
                # The request has ended, or the piece was computed elsewhere meanwhile.
                effects.actions += self._releaser.free(now, _results_of(report))
                continue
            if report.inputs_freed:
                staged.graph.discard_inputs_of(report.piece)
            self._process_report(now, staged, report, submitted.owner, effects)
            reported_requests[report.piece.request_id] = None
        self._submit_next(now, reported_requests, effects)

    def _process_report(
        self,
        now: float,
        staged: StagedRequest,
        report: PieceReport,
        owner: str,
        effects: CoordinatorEffects,
    ) -> None:
        piece = report.piece
        if report.fault is None:
            site = (report.pool, report.data_centre)
            self._sites.update_wait(
                now, *site, report.wait_s, report.slowdown_s, staged.priority
            )
            size = staged.graph.stages[piece.stage].result_bytes
            if report.room_wait_s is not None:
                self.pool_reports_speed(report.pool)
                self._plans.rooms.update(now, *site, size, report.room_wait_s)
            result = StoredResult(
                report.handle, report.endpoint, report.data_centre, size
            )
            staged.graph.mark_done(piece, result)
        elif report.fault is PieceFault.HANDED_BACK:
            # The peer shuts down or has no configuration yet. As long as it counts as
            # live, it would be chosen as owner again and return the job once more.
            self._sites.peer_failed(now, owner)
            self._resubmit(now, [piece], effects, failed=False)
        elif report.fault is PieceFault.LATE:
            effects.late.append(piece.request_id)
        elif report.fault is PieceFault.INPUT_MISSING:
            effects.actions += self._releaser.free(
                now, staged.graph.invalidate_inputs_of(piece)
            )
        else:
            self._sites.note_failure(now, report.pool, report.data_centre)
            self._resubmit(now, [piece], effects)

    def _submit_next(
        self, now: float, request_ids: Iterable[str], effects: CoordinatorEffects
    ) -> None:
        """
        Submit the pieces that have become due, after freeing the results now unneeded.

        The results of all requests are freed in one message for each endpoint. With one
        message for each request, a full call was followed by eight messages at once,
        which opened as many connections to the endpoint.
        """
        given_up = {*effects.failed, *effects.late}
        active = [self._requests[r] for r in request_ids if r not in given_up]
        consumed = [
            result for staged in active for result in staged.graph.take_consumed()
        ]
        effects.actions += self._releaser.free(now, consumed)
        for staged in active:
            self._submit_due(now, staged, effects)


def _results_of(report: PieceReport) -> list[StoredResult]:
    if report.fault is not None:
        return []
    return [StoredResult(report.handle, report.endpoint, report.data_centre, 0.0)]
