"""Tests of `wisterialoom.settings`."""

import pytest

from wisterialoom.settings import Settings, SettingsError, split_address

GOOD = """
[instance]
name = "entry-1"
availability_zone = "bg-south-1"
[listen]
callers = "127.0.0.1:0"
[platform]
url = "http://127.0.0.1:9000"
[peers]
seeds = ["127.0.0.1:8081", "[::1]:8081"]
[log]
level = "debug"
"""


def test_valid_settings_are_loaded(tmp_path):
    path = tmp_path / "entry.toml"
    path.write_text(GOOD)
    settings = Settings.load(path)
    assert settings.instance.name == "entry-1"
    assert settings.peers.seeds == ("127.0.0.1:8081", "[::1]:8081")
    assert settings.limits.max_concurrent > 0
    assert split_address(settings.peers.seeds[1]) == ("::1", 8081)


@pytest.mark.parametrize(
    ("before", "after", "place"),
    [
        ('"127.0.0.1:0"', '"localhost:80"', "listen.callers"),
        ("[peers]", '[peers]\nkeys = ["too short"]', "peers.keys[0]"),
        ('"127.0.0.1:0"', '"127.0.0.1"', "listen.callers"),
        ('"127.0.0.1:0"', '"127.0.0.1:70000"', "listen.callers"),
        ('"127.0.0.1:0"', '"::1:80"', "listen.callers"),
        ("http://127.0.0.1:9000", "http://platform:9000", "platform.url"),
        ("http://127.0.0.1:9000", "127.0.0.1:9000", "platform.url"),
        ('"127.0.0.1:8081"', '"entry-2:8081"', "peers.seeds[0]"),
        ('"127.0.0.1:8081"', '"127.0.0.1:0"', "peers.seeds[0]"),
        ('name = "entry-1"', "", "instance.name"),
        ('"debug"', '"loud"', "log.level"),
        ("[log]", "[limits]\nmax_concurrent = 0\n[log]", "limits.max_concurrent"),
        ("[log]", "[limits]\nmemory_mb = 0\n[log]", "limits.memory_mb"),
        ("[log]", "[limits]\nmemory_mb = 100\n[log]", "limits.memory_mb"),
        ("[log]", "[limits]\nmax_descriptors = 99\n[log]", "limits.max_descriptors"),
        ("[log]", "[limits]\nmax_body = 1\n[log]", "limits.max_body"),
    ],
)
def test_fault_names_the_setting_that_is_invalid(before, after, place):
    assert before in GOOD
    with pytest.raises(SettingsError) as caught:
        Settings.parse(GOOD.replace(before, after, 1).encode())
    assert [fault.place for fault in caught.value.faults] == [place]


def test_all_faults_are_listed_and_a_missing_file_is_reported(tmp_path):
    with pytest.raises(SettingsError) as caught:
        Settings.parse(
            b"[platform]\nurl = 'http://x'\ntimeout_s = '1'\n[log]\nlevel='x'"
        )
    places = {fault.place for fault in caught.value.faults}
    assert places == {"instance", "platform.url", "platform.timeout_s", "log.level"}
    with pytest.raises(SettingsError, match="readable"):
        Settings.load(tmp_path / "missing.toml")
