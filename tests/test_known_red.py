"""The list of known failures: passed over and printed, never more than it says."""

from __future__ import annotations

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]
CONFTEST = Path(__file__).with_name("conftest.py")
TESTS = "def test_red(): assert False\ndef test_green(): pass\n"


def run(pytester: pytest.Pytester, listed: str | None, tests: str = TESTS) -> pytest.RunResult:
    pytester.makeconftest(CONFTEST.read_text("utf-8"))
    pytester.makeini("[pytest]\ntestpaths = test_some.py\n")
    pytester.makepyfile(test_some=tests)
    if listed is not None:
        (pytester.path / "KNOWN-RED.txt").write_text(listed, "utf-8")
    return pytester.runpytest_subprocess("test_some.py")


def test_a_listed_failure_is_passed_over_and_printed(pytester: pytest.Pytester) -> None:
    done = run(pytester, "test_some.py::test_red | a fault | issue 9\n")
    assert done.ret == 0
    done.stdout.fnmatch_lines(["KNOWN RED test_some.py::test_red: a fault (issue 9)"])


@pytest.mark.parametrize("listed", [None, "test_some.py::test_green | a fault | issue 9\n"])
def test_what_is_not_listed_fails(pytester: pytest.Pytester, listed: str | None) -> None:
    assert run(pytester, listed).ret == 1


def test_a_listed_test_that_passes_fails_the_run(pytester: pytest.Pytester) -> None:
    assert run(pytester, "test_some.py::test_green | a fault | issue 9\n", "def test_green(): pass\n").ret == 1


@pytest.mark.parametrize(("listed", "said"), [
    ("test_some.py::test_red | a fault\n", "allowed: test | cause | issue"),
    ("\n".join(f"test_some.py::test_{n} | c | i" for n in range(4)), "found 4 tests; allowed: 3 at most"),
    ("test_some.py::test_gone | a fault | issue 9\n", "test_some.py::test_gone: no such test"),
])  # fmt: skip
def test_a_list_that_can_not_be_used_is_refused(pytester: pytest.Pytester, listed: str, said: str) -> None:
    done = run(pytester, listed)
    assert done.ret == 4
    assert said in "\n".join((*done.outlines, *done.errlines))
