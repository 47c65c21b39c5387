"""Only the adapter uses the platform's names."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
NAMES = re.compile(
    r"[Xx]-[Aa]maranthtally-|/v1/(kv-|stage-|hold-|report)|op/config|itlTargetMs|"
    r"latencySloMs|inputHandles|kvUsage|coldLeftMs|remainingMs|kv_(key|range|watch)"
)
# The stand-in that replaces the platform's store in tests uses its names too.
EXEMPT_PACKAGE = "standins"


def test_no_module_outside_the_adapter_uses_the_platforms_names():
    offenders = [
        path
        for path in (ROOT / "packages").rglob("*.py")
        if EXEMPT_PACKAGE not in path.parts and NAMES.search(path.read_text("utf-8"))
    ]
    assert offenders == []


def test_the_adapter_is_small_and_only_translates():
    modules = list((ROOT / "platform" / "src").rglob("*.py"))
    text = "\n".join(path.read_text("utf-8") for path in modules)
    assert len(text.splitlines()) < 1500
    for word in ("asyncio", "aiohttp", "await ", "sleep", "random", "time()"):
        assert word not in text
