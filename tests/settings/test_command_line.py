"""The operators' command line against a running deployment."""

import asyncio
import json
import sys

import pytest

from amaranthtally.standins.deployment import ADMIN_KEY, open_deployment
from tests.settings.helpers import small_plan
from tests.support import run_async

REASON = ("--reason", "test")


async def run(deployment, *words, key=ADMIN_KEY, url=None):
    """Run a command; return its exit code, output and error output."""
    environment = {
        "AMARANTHTALLY_ADMIN_URL": url or deployment.admin_url(),
        "AMARANTHTALLY_ADMIN_KEY": key,
        "AMARANTHTALLY_ENTRY_URL": deployment.entry_url(),
        "AMARANTHTALLY_ACCOUNT_KEY": deployment.plan.accounts[0].key,
        "AMARANTHTALLY_WHO": "ana",
    }
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "amaranthtally.operator.main",
        *map(str, words),
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await child.communicate()
    return child.returncode, out.decode(), err.decode()


def test_a_day_of_an_operator(tmp_path):
    async def scenario():
        async with open_deployment(small_plan(), servers=2) as deployment:
            code, out, _ = await run(
                deployment, "settings", "set", "deadline_ms", "9000", *REASON
            )
            assert code == 0
            assert "change 2" in out
            assert "by ana" in out

            scope = ("--scope", "pipeline:assessment")
            code, out, _ = await run(
                deployment, "settings", "explain", "deadline_ms", *scope
            )
            assert code == 0
            assert "pipeline:assessment" in out
            assert "overridden" in out

            file = tmp_path / "change.toml"
            file.write_text(
                '["pipeline:assessment"]\nstage.generate.model = "small-1"\n'
                "[firm]\ndeadline_ms = 9000\n"
            )
            code, out, _ = await run(deployment, "settings", "diff", file)
            assert code == 6
            assert "small-1" in out
            assert "9000" not in out
            assert (await run(deployment, "settings", "apply", file, *REASON))[0] == 0
            assert (await run(deployment, "settings", "diff", file))[0] == 0

            code, out, _ = await run(deployment, "settings", "undo", 3, *REASON)
            assert code == 0
            assert "change 4" in out
            code, out, _ = await run(deployment, "settings", "history", "deadline_ms")
            assert out.count("9000") == 1
            code, out, _ = await run(deployment, "audit", "--json")
            trail = json.loads(out)["changes"]
            assert [change["number"] for change in trail] == [4, 3, 2, 1]
            assert trail[0]["why"] == "test"

            code, out, _ = await run(deployment, "drain", "host-encoder-1", *REASON)
            assert code == 0
            code, out, _ = await run(deployment, "endpoints")
            assert "draining" in out
            assert (await run(deployment, "undrain", "host-encoder-1", *REASON))[0] == 0
            code, out, _ = await run(deployment, "status")
            assert "connected" in out
            code, out, _ = await run(deployment, "request", "assessment", "hello")
            assert code == 0
            assert "generate" in out

    run_async(scenario())


def test_mistakes_come_with_their_remedy_and_an_exit_code(tmp_path):
    async def scenario():
        async with open_deployment(small_plan(), servers=1) as deployment:
            file = tmp_path / "wrong.toml"
            file.write_text("[firm]\ndeadlin_ms = 1\n")
            cases = [
                (("settings", "set", "deadlin_ms", 1, *REASON), 1, "'deadline_ms'"),
                (("settings", "set", "deadline_ms", 0, *REASON), 1, "from 1 to"),
                (("settings", "set", "deadline_ms", 1), 2, "reason"),
                (("settings", "get", "deadlin_ms"), 1, "'deadline_ms'"),
                (("settings", "apply", file, *REASON), 1, "'deadline_ms'"),
                (("settings", "apply", "nowhere.toml", *REASON), 2, "check the path"),
                (("settings", "undo", 99, *REASON), 1, "audit"),
                (("drain", "host-encoder-1", *REASON), 1, "undrain"),
                (("drain", "host-encodr-1", *REASON), 1, "'host-encoder-1'"),
                (("request", "nothing", "x"), 1, "not_run"),
            ]
            for words, wanted, remedy in cases:
                code, _, err = await run(deployment, *words)
                assert (code, remedy in err) == (wanted, True), (words, code, err)
            code, _, err = await run(deployment, "status", key="x" * 20)
            assert (code, ADMIN_KEY in err) == (1, False)
            code, _, err = await run(deployment, "status", url="http://127.0.0.1:9")
            assert code == 4
            assert "another entry" in err
            await deployment.set_knobs(deployment.platform, outage=True)
            words = ("settings", "set", "deadline_ms", 9, *REASON)
            code, _, err = await run(deployment, *words)
            assert code == 4
            assert "nothing was written" in err

    run_async(scenario())


def test_no_log_holds_a_key():
    async def scenario():
        async with open_deployment(small_plan(), servers=1) as deployment:
            account = deployment.plan.accounts[0].key
            await run(deployment, "status")
            await run(deployment, "status", key="wrong-key-0001")
            await run(deployment, "request", "assessment", "hello")
            for process in (*deployment.entries, deployment.platform):
                text = "\n".join(process.lines)
                for secret in (ADMIN_KEY, account, "wrong-key-0001"):
                    assert secret not in text

    run_async(scenario())


def test_the_served_document_describes_every_route():
    async def scenario():
        async with open_deployment(small_plan(), servers=1) as deployment:
            url = deployment.admin_url() + "/admin/v1/openapi.json"
            async with deployment.http.get(url) as response:
                document = await response.json()
            assert "/admin/v1/changes/{number}/undo" in document["paths"]
            schemas = document["components"]["schemas"]
            for methods in document["paths"].values():
                for operation in methods.values():
                    assert operation["summary"]
                    answers = operation["responses"]["200"]["content"]
                    ref = answers["application/json"]["schema"]["$ref"]
                    assert ref.rsplit("/", 1)[1] in schemas

    run_async(scenario())


@pytest.mark.parametrize("module", ["cyclopts", "rich", "amaranthtally.operator"])
def test_a_daemon_carries_none_of_the_command_line(module):
    async def scenario():
        code = (
            "import sys, amaranthtally.daemon.entry.service, "
            "amaranthtally.daemon.sidecar.service; "
            f"sys.exit({module!r} in sys.modules)"
        )
        child = await asyncio.create_subprocess_exec(sys.executable, "-c", code)
        assert await child.wait() == 0

    run_async(scenario())
