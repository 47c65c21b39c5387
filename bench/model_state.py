"""What the state of a sidecar's models adds to each reply, in bytes and time."""

import time

from amaranthtally.wire import Load, ModelState
from amaranthtally.wire.codec import read_load, schema, write_load

ROUNDS = 20_000
MODELS = 4


def main() -> None:
    """Print size and time of a load without and with models."""
    names = frozenset(f"assessment-{number}b+claims@2" for number in range(MODELS))
    state = ModelState(names, "both", "load assessment-3b+claims@2: done")
    for label, load in (("without", Load()), ("with", Load(models=state))):
        size, micros = measure(load)
        print(f"{label} models: {size} bytes, {micros:.1f} us to encode and decode")


def measure(load: Load) -> tuple[int, float]:
    """Return a load's encoded size and the microseconds to encode and decode it."""
    size = 0
    start = time.perf_counter()
    for _ in range(ROUNDS):
        message = schema.Load.new_message()
        write_load(message, load)
        data = message.to_bytes()
        size = len(data)
        with schema.Load.from_bytes(data) as reader:
            read_load(reader)
    return size, (time.perf_counter() - start) / ROUNDS * 1e6


if __name__ == "__main__":
    main()
