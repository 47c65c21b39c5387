"""Sound records, and odd ones that are drawn from them and from a corpus."""

import base64
import json
from pathlib import Path

CORPUS = Path(__file__).parent / "corpus"
PREFIXES = ("servers/", "entries/", "versions/", "origins/", "op/evacuate/")
KEYS = [f"{prefix}x{n}" for prefix in PREFIXES for n in range(3)]
ODD_KEYS = [
    "",
    "servers/",
    "servers/\n",
    "entries/\u2028",
    "versions/a b",
    "op/config/",
]
TOO_DEEP = "[" * 1200 + "]" * 1200
# In place of the value of a field.
VALUES = ["1" + "0" * 310, TOO_DEEP, '"127.0.0.1:\\u00b2"', '"' + "a" * 300 + ':1"']
VALUES += ["-1", "0", "1e308", "1e999", "NaN", "null", "true", "[]", "{}", "[[]]"]
VALUES += ['""', '"\\ud800"', '"gone"', '"a:0"', '"a:99999"', '"a..b:1"', '"draining"']
VALUES += ['"a\\n:1"', "18446744073709551616"]


def sound_value(random, key):
    """Return a record that can be used, as its writer would write it."""
    n = random.randint(1, 9)
    record = {"address": f"127.0.0.1:{n}", "data_centre": "a1", "zone": "a1"}
    if key.startswith("servers/"):
        state = random.choice(["ready", "ready", "draining"])
        record |= {"service": "job", "slots": n, "state": state, "born": n}
    elif key.startswith("versions/"):
        return json.dumps([f"v{n}"]).encode()
    elif key.startswith("origins/"):
        group = {"pool": "job", "version": "v1", "requests": [f"{key}-{n}"]}
        return json.dumps([group]).encode()
    return json.dumps(record).encode()


def odd_value(random, key):
    """Return bytes that a faulty writer might write."""
    value = sound_value(random, key)
    at, kind = random.randrange(len(value)), random.randrange(5)
    if kind == 0:
        return random.randbytes(random.randrange(40))
    if kind == 1:
        return value[:at] + random.randbytes(random.randrange(3)) + value[at + 1 :]
    if kind == 2:
        return random.choice(VALUES).encode()
    fields = json.loads(value)
    named = fields if isinstance(fields, dict) else {"x": fields}
    texts = {k: json.dumps(v) for k, v in named.items()}
    texts[random.choice([*texts, "note"])] = random.choice(VALUES)
    return ("{" + ",".join(f'"{k}":{v}' for k, v in texts.items()) + "}").encode()


def read_corpus():
    """Return the records that once broke something, by the name of their file."""
    entries = {p.stem: json.loads(p.read_text("utf-8")) for p in CORPUS.glob("*.json")}
    return {n: (e["key"], base64.b64decode(e["value"])) for n, e in entries.items()}
