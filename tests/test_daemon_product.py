"""The daemon's interface for operators: help, exit codes, health, metrics, logs."""

import signal

import pytest

from amaranthtally.daemon.main import ExitCode, main
from amaranthtally.standins.deployment import open_deployment
from tests.support import plan, run_async


def test_help_names_the_roles_and_exit_codes(capsys):
    with pytest.raises(SystemExit) as exit_info:
        main(["--help"])
    output = capsys.readouterr().out
    assert exit_info.value.code == 0
    assert "{entry,gateway,sidecar}" in output
    assert "2 wrong settings" in output


def test_invalid_settings_have_their_own_exit_code(tmp_path, capsys):
    path = tmp_path / "entry.toml"
    path.write_text('name = "entry-1"\n')
    assert main(["entry", "--settings", str(path)]) == ExitCode.BAD_SETTINGS
    assert "key 'platform_url': missing; add it" in capsys.readouterr().err


def test_health_metrics_logs_and_a_clean_stop():
    async def scenario():
        async with open_deployment(plan(), servers=1) as deployment:
            entry = deployment.entries[0]
            call_response = await deployment.call("assessment", "secret-body-text")
            request_id = (await call_response.json())["request_id"]

            for path in ("/healthz", "/readyz"):
                async with deployment.http.get(
                    deployment.entry_url() + path
                ) as response:
                    assert response.status == 200
            async with deployment.http.get(
                deployment.entry_url() + "/metrics"
            ) as response:
                metrics = await response.text()
            assert 'amaranthtally_requests_total{pipeline="assessment"' in metrics
            assert "amaranthtally_settings_revision 1" in metrics
            sidecar = deployment.pool("encoder")[0].sidecar
            health = f"http://127.0.0.1:{sidecar.ports['http']}"
            async with deployment.http.get(health + "/metrics") as response:
                assert 'amaranthtally_calls_total{status="finished"} 1' in (
                    await response.text()
                )

            ended = [line for line in entry.lines if request_id in line]
            assert any("event=request_ended" in line for line in ended)
            logs = "\n".join(entry.lines)
            assert "secret-body-text" not in logs
            assert deployment.plan.accounts[0].key not in logs

            entry.send(signal.SIGTERM)
            assert await entry.wait() == ExitCode.STOPPED
            assert any("event=entry_stopped" in line for line in entry.lines)

    run_async(scenario())


def test_an_address_in_use_has_its_own_exit_code():
    async def scenario():
        async with open_deployment(plan(), servers=1) as deployment:
            path = deployment.entry_files[0]
            process = await deployment.spawn_daemon("entry", "second", path)
            assert await process.wait() == ExitCode.CANNOT_LISTEN
            assert "choose a free address" in "\n".join(process.lines)

    run_async(scenario())
