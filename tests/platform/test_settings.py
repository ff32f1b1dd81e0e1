"""The settings that the platform writes for a process."""

import pytest

from sesamespindle.declare import findings
from sesamespindle.platform import settings

_TEXT = """NodeName=a
Zone=dc-1
Ip=127.0.0.1
Listen.Front=127.0.0.1:1
Listen.ReadyAddr=127.0.0.1:2
Listen.Directory=127.0.0.1:3
Listen.Control=127.0.0.1:4
Platform.Address=127.0.0.1:5
"""


def test_a_host_knows_what_it_can_carry():
    text = "Limits.CpuShare=0.5\nLimits.Cores=3\nLimits.MemoryMb=200\n"
    loaded = settings.parse(f"{_TEXT}{text}Limits.LinkMbps=10.0\n")
    assert loaded.capacity == settings.Capacity(1.5, 200_000_000, 10e6, 824)


@pytest.mark.parametrize(
    ("link", "carried"), [("", 1500), ("40.0", 100), ("1000.0", 1500), ("0.1", 1)]
)
def test_what_a_host_says_that_it_can_carry_counts_its_cores_and_its_link(
    link, carried
):
    text = "Limits.CpuShare=0.5\nLimits.Cores=3\n"
    text += f"Limits.LinkMbps={link}\n" if link else ""
    loaded = settings.parse(f"{_TEXT}{text}")
    assert loaded.capacity.thousandths_of_a_core() == carried


@pytest.mark.parametrize(
    ("contracts", "compete"),
    [("", False), ("base,drain", False), ("base, pressure,platform", True)],
)
def test_the_settings_say_whether_callers_compete(contracts, compete):
    loaded = settings.parse(f"{_TEXT}Contracts={contracts}\n")
    assert loaded.callers_compete is compete


def test_a_capacity_that_cannot_be_is_reported():
    with pytest.raises(findings.FindingsError) as raised:
        settings.parse(f"{_TEXT}Limits.CpuShare=0\n")
    assert "Limits.CpuShare" in str(raised.value)
