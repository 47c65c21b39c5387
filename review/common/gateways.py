"""Starts the gateway role by the command of the deploy file, and ends it again."""

import asyncio
import os
import signal
import socket
import subprocess
from dataclasses import dataclass
from pathlib import Path

from web import ask

__all__ = ["ROOT", "Gateway", "CannotRunError", "free_port", "settings_of", "start"]

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "-m", "amaranthtally.daemon.main", "gateway", "--settings"]
READY_WITHIN_S = 20.0


class CannotRunError(Exception):
    """A case cannot run on this machine."""


@dataclass
class Gateway:
    """A gateway process, with its ports and the file of its log."""

    name: str
    port: int
    ready_port: int
    process: subprocess.Popen
    log: Path

    async def wait_until_ready(self) -> None:
        """Ask until the process says that it is ready."""
        loop = asyncio.get_running_loop()
        end = loop.time() + READY_WITHIN_S
        while loop.time() < end:
            answer = await ask(self.ready_port, "GET", "/v1/readyz", {"Host": "x"})
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready: see {self.log}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process alone."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """End the process."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        while self.process.poll() is None:
            await asyncio.sleep(0.02)


def free_port() -> int:
    """Return a port of loopback that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def settings_of(
    folder: Path,
    count: int,
    store_port: int,
    zones: dict[str, str],
    memory_mb: int = 300,
) -> list[Path]:
    """Write the settings of gateways, as the template of the deploy file has them."""
    ports = [[free_port() for _ in range(4)] for _ in range(count)]
    seeds = ", ".join(f'"127.0.0.1:{p[2]}"' for p in ports[:3])
    names = list(zones)
    paths = []
    for number, (callers, ready, peers, metrics) in enumerate(ports):
        zone = names[number % len(names)]
        lines = [
            f'name = "edge-{zone}-{number + 1}"',
            'host = "127.0.0.1"',
            f'region = "{zones[zone]}"',
            f'data_centre = "{zone}"',
            f'caller_address = "127.0.0.1:{callers}"',
            f'ready_address = "127.0.0.1:{ready}"',
            f'peer_address = "127.0.0.1:{peers}"',
            f'metrics_address = "127.0.0.1:{metrics}"',
            f'store_address = "127.0.0.1:{store_port}"',
            f"seeds = [{seeds}]",
            "stop_grace = 8",
            "retry_ratio = 0.2",
            "retry_slack = 58",
            "shared_loads = false",
            f"memory_mb = {memory_mb}",
            "[regions]",
            *(f'"{name}" = "{region}"' for name, region in zones.items()),
        ]
        path = folder / f"gateway-{number + 1}.toml"
        path.write_text("\n".join(lines) + "\n")
        paths.append(path)
    return paths


def start(settings: Path) -> Gateway:
    """Start a gateway; it runs what the build of the deploy file has made."""
    if not (ROOT / "target" / "deps" / "amaranthtally").is_dir():
        raise CannotRunError("target/deps is missing: run the build of the deploy file")
    values = dict(
        line.split(" = ", 1)
        for line in settings.read_text().splitlines()
        if "=" in line
    )
    log = settings.with_suffix(".log")
    environment = {
        name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
    }
    environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
    with log.open("ab") as output:
        process = subprocess.Popen(
            [*COMMAND, str(settings)],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
    return Gateway(
        values["name"].strip('"'),
        _port(values["caller_address"]),
        _port(values["ready_address"]),
        process,
        log,
    )


def _port(address: str) -> int:
    return int(address.strip('"').rpartition(":")[2])
