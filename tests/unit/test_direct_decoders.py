"""Which modules decode without the package that returns every failure."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
DIRECT = re.compile(
    r"msgspec\.(json|msgpack|toml|yaml)\.(decode|Decoder)\b|\bjson\.loads?\(|"
    r"b(16|32|64|85)decode\(|from msgspec(\.\w+)? import .*[dD]ecode"
)
# The operator's tool reads files of its user, and answers of the daemon that the user
# names: a failure ends one command. Stand-ins run in tests only.
ALLOWED = {
    "decoding/__init__.py",
    "operator/connection.py",
    "operator/experiment/trial_log.py",
    "operator/replay/trace.py",
    "operator/request_command.py",
    "standins/chaos/callers.py",
    "standins/engine.py",
    "standins/plain.py",
    "standins/plan.py",
    "standins/platform.py",
    "standins/pools.py",
    "standins/registry.py",
    "standins/store.py",
}


def test_no_other_module_decodes_by_itself():
    """Guards against an exception of a decoder that ends the task that decodes."""
    sources = [*ROOT.glob("packages/*/src"), ROOT / "platform" / "src"]
    found = {
        path.relative_to(source / "amaranthtally").as_posix()
        for source in sources
        for path in source.rglob("*.py")
        if DIRECT.search(path.read_text("utf-8"))
    }
    assert found == ALLOWED
