"""Start, run and stop an entry."""

import asyncio
from contextlib import AsyncExitStack, suppress

import capnp
from aiohttp import web

from amaranthtally.daemon.entry.admin import AdminApi, add_admin_routes
from amaranthtally.daemon.entry.binder import Binder
from amaranthtally.daemon.entry.callers import CallerApi, add_caller_routes
from amaranthtally.daemon.entry.claims import Claims
from amaranthtally.daemon.entry.executor import Executor
from amaranthtally.daemon.entry.inquiries import Inquirer
from amaranthtally.daemon.entry.peers import Peers
from amaranthtally.daemon.entry.pipelines import policy_settings
from amaranthtally.daemon.entry.settings_store import SettingsStore
from amaranthtally.daemon.entry.tokens import TokenSigner
from amaranthtally.daemon.health import add_health_routes
from amaranthtally.daemon.lifecycle import serve_http, stop_on_signal
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import open_key_value
from amaranthtally.policy import Planner, PolicySettings
from amaranthtally.settings import EntrySettings, SettingsView
from amaranthtally.wire import Load

__all__ = ["run_entry"]

HTTP_GRACE_S = 5.0
ADMIN_MAX_BODY = 16 * 1024 * 1024

log = get_logger()


async def run_entry(settings: EntrySettings) -> None:
    """Serve callers until a stop signal, then finish what is in flight."""
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(capnp.kj_loop())
        stop = stack.enter_context(stop_on_signal())
        entry = await _open_entry(settings, stack, stop)
        await stop.wait()
        # The balancer still sends here until it has seen /readyz fail: a process
        # that closed its listener at once would refuse those connections, and
        # callers would see resets. So it serves on for drain_wait first.
        log.info("entry_leaving", in_flight=entry.in_flight)
        await asyncio.sleep(settings.drain_wait)
        await entry.drained()
    log.info("entry_stopped", entry=settings.name)


async def _open_entry(
    settings: EntrySettings, stack: AsyncExitStack, stop: asyncio.Event
) -> Executor:
    start = PolicySettings(0, settings.region, settings.data_centre)
    executor = Executor(Planner(start), start)

    def on_change(view: SettingsView) -> None:
        wanted = policy_settings(view, settings.region, settings.data_centre)
        callers.settings_changed(view)
        executor.settings_changed(wanted)
        inquirer.settings_changed(wanted.endpoints)

    def on_load(endpoint: str, load: Load) -> None:
        executor.load_changed(endpoint, load)
        inquirer.note_load(endpoint, load)

    key_value = await stack.enter_async_context(open_key_value(settings.platform_url))
    store = SettingsStore(key_value, on_change)
    peers = Peers(settings.name, store, settings.connect_timeout, on_load)
    stack.push_async_callback(peers.close)
    inquirer = Inquirer(peers)
    executor.connect(peers, inquirer)
    binder = Binder(
        settings.region, Claims(key_value), TokenSigner(settings.token_keys), inquirer
    )
    callers = CallerApi(executor, binder, settings.region, settings.max_body_bytes)
    for work in (store.follow(), executor.tick()):
        stack.push_async_callback(_end, asyncio.create_task(work))

    app = web.Application(client_max_size=settings.max_body_bytes)
    add_caller_routes(app, callers)
    add_health_routes(app, lambda: store.loaded.is_set() and not stop.is_set())
    port = await stack.enter_async_context(
        serve_http(app, settings.caller_address, HTTP_GRACE_S)
    )
    admin = AdminApi(store, executor, settings.admin_keys)
    admin_app = web.Application(
        middlewares=[admin.check_key], client_max_size=ADMIN_MAX_BODY
    )
    add_admin_routes(admin_app, admin)
    admin_port = await stack.enter_async_context(
        serve_http(admin_app, settings.admin_address, HTTP_GRACE_S)
    )
    log.info("listening", role="entry", name=settings.name, port=port, admin=admin_port)
    return executor


async def _end(task: asyncio.Task[None]) -> None:
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task
