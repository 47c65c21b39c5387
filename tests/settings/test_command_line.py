"""The command line for operators, run against a deployment."""

import asyncio
import json
import sys

import pytest

from amaranthtally.standins.deployment import ADMIN_KEY, open_deployment
from tests.settings.helpers import small_plan
from tests.support import run_async

REASON = ("--reason", "test")


async def run_cli(deployment, *arguments, key=ADMIN_KEY, url=None):
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
        *map(str, arguments),
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await child.communicate()
    return child.returncode, output.decode(), errors.decode()


def test_usual_operator_workflow(tmp_path):
    async def scenario():
        async with open_deployment(small_plan(), servers=2) as deployment:
            code, output, _ = await run_cli(
                deployment, "settings", "set", "deadline_ms", "9000", *REASON
            )
            assert code == 0
            assert "change 2" in output
            assert "by ana" in output

            scope = ("--scope", "pipeline:assessment")
            code, output, _ = await run_cli(
                deployment, "settings", "explain", "deadline_ms", *scope
            )
            assert code == 0
            assert "pipeline:assessment" in output
            assert "overridden" in output

            file = tmp_path / "change.toml"
            file.write_text(
                '["pipeline:assessment"]\nstage.generate.model = "small-1"\n'
                "[firm]\ndeadline_ms = 9000\n"
            )
            code, output, _ = await run_cli(deployment, "settings", "diff", file)
            assert code == 6
            assert "small-1" in output
            assert "9000" not in output
            assert (await run_cli(deployment, "settings", "apply", file, *REASON))[
                0
            ] == 0
            assert (await run_cli(deployment, "settings", "diff", file))[0] == 0

            code, output, _ = await run_cli(deployment, "settings", "undo", 3, *REASON)
            assert code == 0
            assert "change 4" in output
            code, output, _ = await run_cli(
                deployment, "settings", "history", "deadline_ms"
            )
            assert output.count("9000") == 1
            code, output, _ = await run_cli(deployment, "audit", "--json")
            trail = json.loads(output)["changes"]
            assert [change["number"] for change in trail] == [4, 3, 2, 1]
            assert trail[0]["why"] == "test"

            code, output, _ = await run_cli(
                deployment, "drain", "host-encoder-1", *REASON
            )
            assert code == 0
            code, output, _ = await run_cli(deployment, "endpoints")
            assert "draining" in output
            assert (await run_cli(deployment, "undrain", "host-encoder-1", *REASON))[
                0
            ] == 0
            code, output, _ = await run_cli(deployment, "status")
            assert "connected" in output
            code, output, _ = await run_cli(
                deployment, "request", "assessment", "hello"
            )
            assert code == 0
            assert "generate" in output

    run_async(scenario())


def test_a_data_centre_is_evacuated_and_reinstated():
    """Guards against an emergency for which operators have no command."""

    async def scenario():
        async with open_deployment(small_plan(), servers=2) as deployment:
            _, output, _ = await run_cli(deployment, "endpoints", "--json")
            places = {r["data_centre"] for r in json.loads(output)["endpoints"]}
            place = sorted(places)[0]
            code, _, errors = await run_cli(deployment, "evacuate", "nowhere", *REASON)
            assert (code, "data centre 'nowhere'" in errors) == (1, True)
            code, _, errors = await run_cli(deployment, "reinstate", place, *REASON)
            assert (code, "not evacuated" in errors) == (1, True)

            assert (await run_cli(deployment, "evacuate", place, *REASON))[0] == 0
            code, output, _ = await run_cli(
                deployment, "endpoints", "--data-centre", place
            )
            assert "evacuated" in output
            assert "live" not in output
            _, output, _ = await run_cli(deployment, "status")
            assert place in output
            if places == {place}:
                code, _, errors = await run_cli(
                    deployment, "request", "assessment", "hello"
                )
                assert (code, "not_run" in errors) == (1, True)

            assert (await run_cli(deployment, "reinstate", place, *REASON))[0] == 0
            code, output, _ = await run_cli(
                deployment, "request", "assessment", "hello"
            )
            assert (code, "generate" in output) == (0, True)

    run_async(scenario())


def test_errors_have_a_remedy_and_an_exit_code(tmp_path):
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
            for arguments, expected_code, remedy in cases:
                code, _, errors = await run_cli(deployment, *arguments)
                assert (code, remedy in errors) == (expected_code, True), (
                    arguments,
                    code,
                    errors,
                )
            code, _, errors = await run_cli(deployment, "status", key="x" * 20)
            assert (code, ADMIN_KEY in errors) == (1, False)
            code, _, errors = await run_cli(
                deployment, "status", url="http://127.0.0.1:9"
            )
            assert code == 4
            assert "another entry" in errors
            await deployment.set_knobs(deployment.platform, outage=True)
            arguments = ("settings", "set", "deadline_ms", 9, *REASON)
            code, _, errors = await run_cli(deployment, *arguments)
            assert code == 4
            assert "nothing was written" in errors

    run_async(scenario())


def test_logs_contain_no_keys():
    async def scenario():
        async with open_deployment(small_plan(), servers=1) as deployment:
            account = deployment.plan.accounts[0].key
            await run_cli(deployment, "status")
            await run_cli(deployment, "status", key="wrong-key-0001")
            await run_cli(deployment, "request", "assessment", "hello")
            for process in (*deployment.entries, deployment.platform):
                text = "\n".join(process.lines)
                for secret in (ADMIN_KEY, account, "wrong-key-0001"):
                    assert secret not in text

    run_async(scenario())


def test_openapi_document_describes_every_route():
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
                    content = operation["responses"]["200"]["content"]
                    ref = content["application/json"]["schema"]["$ref"]
                    assert ref.rsplit("/", 1)[1] in schemas

    run_async(scenario())


@pytest.mark.parametrize("module", ["cyclopts", "rich", "amaranthtally.operator"])
def test_daemon_does_not_import_the_command_line(module):
    async def scenario():
        code = (
            "import sys, amaranthtally.daemon.entry.service, "
            "amaranthtally.daemon.sidecar.service; "
            f"sys.exit({module!r} in sys.modules)"
        )
        child = await asyncio.create_subprocess_exec(sys.executable, "-c", code)
        assert await child.wait() == 0

    run_async(scenario())
