"""Entries of the store that cannot be used, written beside the sound ones."""

import asyncio
import json
import time

from tests.soak.endpoints import EndpointScript

# Depths of nested values: some decoders take the first, none the others. All entries
# together stay small, as one gateway reads them over a rate-limited link.
DEPTHS = (200, 4000, 8000)
# Numbers as in JSON. No float holds the first, and no 64-bit integer the second.
NUMBERS = ("1" + "0" * 310, str(2**64), str(-(2**63)), "-1", "1e999", "1.5", "-0.0")
# Addresses of endpoints and peers. None of them leads off this host.
ADDRESSES = (
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1:\u00b2",
    "127.0.0.1:",
    "127.0.0.1",
    ":80",
    "",
    "127.0.0.1:80:80",
    "127.0.0.1:0",
    "[::1",
)
WRONG_TYPES = ("null", "true", "[]", "{}", "7", '"text"', '[["a"]]', '{"a":[null]}')
TEXTS = ('"\\ud800"', '"\\u0000"', '"a\\nevent=task_failed"', json.dumps("x" * 20_000))
# Parts of the names under each prefix; "config" stands for the neighbours of the
# configuration, whose own key is never written.
NAMES = ("odd", "odd\u00e9", "odd a", 'odd"', "odd=b", "odd\nc", "odd/d", "odd%2f")
MAX_RANDOM_BYTES = 300
# Pools of the endpoints that are sound but for one field, and one without any other.
POOLS = ("order", "read", "odd")
SPARE = "spare"


class OddRecords:
    """
    Makes random entries, and the keys under which they do not replace sound ones.

    ``address`` is that of an endpoint that serves what an entry gets that is used in
    spite of its odd field, and ``closed`` one at which nobody listens.
    """

    def __init__(self, random, address, closed):
        self._random = random
        self._address = address
        self._closed = closed
        self._serial = 0
        self._kinds = []

    def make(self):
        """Return the key and the value of an entry."""
        self._serial += 1
        name = f"{self._random.choice(NAMES)}-{self._serial}"
        peer = {"address": self._closed, "data_centre": "cluj-a"}
        origins = [{"pool": "engine", "version": "v1", "requests": []}]
        options = [
            *[("servers/", self._endpoint())] * 4,
            *[("entries/", peer), ("origins/", origins), ("versions/", ["v1"])] * 2,
            # Neighbours of the configuration and of evacuations.
            ("op/", {"version": 1, "routes": [], "services": [], "tenants": []}),
            ("op/config-", {"version": 9999}),
            ("op/evacuate/", {}),
        ]
        prefix, fields = self._random.choice(options)
        return f"{prefix}{name}", self._value(fields)

    def _endpoint(self):
        return {
            "service": self._random.choice(POOLS),
            "address": self._address,
            "zone": "cluj-a",
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "coldLeftMs": 0,
            "born": 1,
        }

    def _value(self, fields):
        # In turn, in random order: a short run has each kind too.
        if not self._kinds:
            kinds = [self._random_bytes, self._cut, self._wrong_type]
            self._kinds = [*kinds, *[self._nested] * 2, *[self._odd_field] * 3]
            self._random.shuffle(self._kinds)
        return self._kinds.pop()(fields)

    def _random_bytes(self, fields):
        return self._random.randbytes(self._random.randrange(MAX_RANDOM_BYTES))

    def _nested(self, fields):
        depth = self._random.choice(DEPTHS)
        opening, closing = self._random.choice((("[", "]"), ('{"a":', "}")))
        value = opening * depth + "1" + closing * depth
        if not isinstance(fields, dict):
            return f'[{{"x":{value}}}]'.encode()
        return _with_field(fields, "note", value)

    def _cut(self, fields):
        whole = json.dumps(fields).encode()
        return whole[: self._random.randrange(len(whole))]

    def _wrong_type(self, fields):
        return self._random.choice(WRONG_TYPES).encode()

    def _odd_field(self, fields):
        if not isinstance(fields, dict) or not fields:
            return self._wrong_type(fields)
        name = self._random.choice(sorted(fields))
        if name == "address":
            value = json.dumps(self._random.choice(ADDRESSES))
        else:
            value = self._random.choice((*NUMBERS, *WRONG_TYPES, *TEXTS))
        return _with_field(fields, name, value)


def _with_field(fields, name, text):
    """Return a record with one field more, or another value of one, as JSON."""
    pairs = [f"{json.dumps(k)}:{json.dumps(v)}" for k, v in fields.items() if k != name]
    return ("{" + ",".join([*pairs, f"{json.dumps(name)}:{text}"]) + "}").encode()


async def write_odd_records(run, random, count, end_at):
    """Write some entries at random times until a time stamp, the first at once."""
    script = EndpointScript(run.records, "work", "v1")
    spare = await run.cluster.endpoint(SPARE, "odd", script)
    records = OddRecords(random, spare.address, run.cluster.reserve_address())
    left_s = max(0.0, end_at - time.monotonic())
    offsets_s = [0.0, *sorted(random.random() * left_s for _ in range(count - 1))]
    begun = time.monotonic()
    for offset_s in offsets_s:
        await asyncio.sleep(max(0.0, begun + offset_s - time.monotonic()))
        key, value = records.make()
        run.odd_keys.append(key)
        run.store.put(key, value)
