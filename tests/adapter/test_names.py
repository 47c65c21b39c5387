"""The platform's names stay in the adapter."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
NAMES = re.compile(
    r"[Xx]-[Aa]maranthtally-|/v1/(kv-|stage-|hold-|report)|op/config|itlTargetMs|"
    r"latencySloMs|inputHandles|kvUsage|coldLeftMs|remainingMs|kv_(key|range|watch)"
)
# The stand-in of the store speaks its names, as it takes its place in tests.
SPEAKS_THEM = "standins"


def test_no_module_outside_the_adapter_knows_the_platforms_names():
    found = [
        path
        for path in (ROOT / "packages").rglob("*.py")
        if SPEAKS_THEM not in path.parts and NAMES.search(path.read_text("utf-8"))
    ]
    assert found == []


def test_the_adapter_is_small_and_does_nothing_but_translate():
    modules = list((ROOT / "platform" / "src").rglob("*.py"))
    text = "\n".join(path.read_text("utf-8") for path in modules)
    assert len(text.splitlines()) < 1500
    for word in ("asyncio", "aiohttp", "await ", "sleep", "random", "time()"):
        assert word not in text
