"""Loading of a process's settings file."""

import pytest

from amaranthtally.settings import SettingsFileError, load_sidecar_settings

VALID = """
endpoint = "encoder-1"
host = "host-1"
region = "cluj"
data_centre = "cluj-1"
wire_address = "127.0.0.1:0"
http_address = "127.0.0.1:0"
endpoint_url = "http://127.0.0.1:9"
endpoint_kind = "encoder"
"""


def test_missing_optional_keys_get_defaults(tmp_path):
    path = tmp_path / "sidecar.toml"
    path.write_text(VALID)
    assert load_sidecar_settings(path).concurrency == 4


def test_all_mistakes_are_reported_together_with_remedies(tmp_path):
    path = tmp_path / "sidecar.toml"
    invalid = VALID.replace('"127.0.0.1:0"', '"nowhere"', 1).replace(
        'host = "host-1"', ""
    )
    path.write_text(invalid + 'concurency = 2\nqueue_capacity = "many"\n')
    with pytest.raises(SettingsFileError) as caught:
        load_sidecar_settings(path)
    message = str(caught.value)
    assert len(caught.value.mistakes) == 4
    assert all(line.startswith(str(path)) for line in message.splitlines())
    assert "'concurency': unknown; did you mean 'concurrency'?" in message
    assert "'host': missing; add it" in message
    assert "'wire_address'" in message
    assert "'queue_capacity'" in message


@pytest.mark.parametrize("text", [None, "endpoint = ", b"\xff"])
def test_unreadable_file_error_states_the_remedy(tmp_path, text):
    path = tmp_path / "sidecar.toml"
    if text is not None:
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
    with pytest.raises(SettingsFileError, match=r"check the path|correct that line"):
        load_sidecar_settings(path)
