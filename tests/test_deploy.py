"""`build` and `run` as deploy/balancer.toml gives them: what they leave, start, load and open."""

from __future__ import annotations

import ctypes
import os
import platform as machine
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tomllib
import zipfile
from pathlib import Path

import pytest

from tests.harness import Client, wait_for
from tests.platform import is_serving, platform, round_trip

ROOT = Path(__file__).resolve().parents[1]
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text("utf-8"))

# `run` under the filter that the operators' bench sets: starting programs, fork, io_uring, splice and sendfile are
# refused, and so is any socket that is not IPv4.  Numbers by architecture, as the kernel's tables give them.
CALLS = {
    "x86_64": {"fork": 57, "vfork": 58, "clone3": 435, "clone": 56, "socket": 41, "sendfile": 40, "splice": 275,
               "io_uring_setup": 425, "io_uring_enter": 426},
    "aarch64": {"clone3": 435, "clone": 220, "socket": 198, "sendfile": 71, "splice": 76,
                "io_uring_setup": 425, "io_uring_enter": 426},
}  # fmt: skip
NOT_FILTERED = {"clone": 0x10000, "socket": socket.AF_INET}  # CLONE_THREAD; the argument that makes it harmless
ENOSYS, EINVAL, EAFNOSUPPORT = 38, 22, 97
_LD, _JEQ, _JSET, _RET, _ALLOW = 0x20, 0x15, 0x45, 0x06, 0x7FFF0000


def filter_program() -> bytes:
    """The filter in classic BPF: each call's number is compared, two calls by their first argument too."""
    steps: list[tuple[int, int, int, int]] = [(_LD, 0, 0, 0)]
    for name, number in CALLS[machine.machine()].items():
        error = {"splice": EINVAL, "socket": EAFNOSUPPORT}.get(name, ENOSYS)
        refuse = (_RET, 0, 0, 0x50000 | error)
        if name in NOT_FILTERED:
            test = _JSET if name == "clone" else _JEQ
            steps += [(_JEQ, 0, 4, number), (_LD, 0, 0, 16), (test, 1, 0, NOT_FILTERED[name]), refuse,
                      (_RET, 0, 0, _ALLOW)]  # fmt: skip
        else:
            steps += [(_JEQ, 0, 1, number), refuse]
    steps.append((_RET, 0, 0, _ALLOW))
    return b"".join(struct.pack("HBBI", *step) for step in steps)


def refuse_calls() -> None:
    """Set the filter on this process and all that it becomes; needs no rights."""
    libc = ctypes.CDLL(None, use_errno=True)
    program = ctypes.create_string_buffer(filter_program())
    told = ctypes.create_string_buffer(struct.pack("HxxxxxxP", len(program.raw) // 8, ctypes.addressof(program)))
    if libc.prctl(38, 1, 0, 0, 0) or libc.prctl(22, 2, told, 0, 0):  # PR_SET_NO_NEW_PRIVS, PR_SET_SECCOMP
        raise OSError(ctypes.get_errno(), "the filter could not be set")


def tree(folder: Path) -> dict[str, int]:
    """Every file of the program with its time of change."""
    return {str(path): path.stat().st_mtime_ns for path in folder.rglob("*") if path.is_file()}


def here(command: str) -> str:
    """`run` with this test's interpreter, which stands where the build's stands."""
    assert ".venv/bin/python " in command
    return command.replace(".venv/bin/python ", f"{sys.executable} ")


def test_run_is_one_process_on_tcp_over_ipv4_that_starts_and_writes_nothing(tmp_path: Path) -> None:
    with platform() as world:
        config, private = tmp_path / "config.json", tmp_path / "private"
        config.write_bytes(world.config())
        private.mkdir()
        before = tree(ROOT / "stonetrack")
        env = {"PATH": os.environ["PATH"], "EDGE_CONFIG": str(config), "TMPDIR": str(private)}
        process = subprocess.Popen(
            ["/bin/sh", "-c", here(DEPLOY["run"])], cwd=ROOT, env=env, preexec_fn=refuse_calls,
            stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE)  # fmt: skip
        try:
            assert wait_for(lambda: is_serving(world.listen)), "not up in time"
            client = Client(world.listen)
            assert round_trip(client, "q0")[0].status == 200
            proc = Path("/proc") / str(process.pid)  # the shell became the node: nothing stands between
            assert b"stonetrack\0edge" in (proc / "cmdline").read_bytes()
            children = [t.joinpath("children").read_text() for t in (proc / "task").iterdir()]
            assert len(children) > 3 and not "".join(children)
            opened = [os.readlink(fd) for fd in (proc / "fd").iterdir() if fd.exists() or fd.is_symlink()]
            sockets = {name[8:-1] for name in opened if name.startswith("socket:[")}
            over = {line.split()[9] for line in (proc / "net" / "tcp").read_text().splitlines()[1:]}
            assert len(sockets) >= 3 and sockets <= over, "a socket that is not TCP over IPv4"
            usual = ("socket:[", "anon_inode:", "pipe:[", "/dev/null")
            others = [name for name in opened if not name.startswith(usual)]
            assert not others, f"open beside its sockets: {others}"
            loaded = (proc / "maps").read_text()
            assert "libc.so" in loaded or "ld-musl" in loaded, "not linked dynamically against the C library"
            for name in ("lmdb", "numpy", "xxhash", "zstandard", "rjsonnet", "lxml", "matplotlib"):
                assert f"/{name}" not in loaded, f"{name} is loaded on the platform"
            client.close()
            process.send_signal(signal.SIGTERM)
            assert process.wait(10.0) == 0
        finally:
            process.kill()
            process.wait(10.0)
            said = process.stderr.read().decode() if process.stderr is not None else ""
    assert "serving as n0" in said and "Traceback" not in said
    assert tree(ROOT / "stonetrack") == before and not list(private.iterdir()), "it wrote to the file system"


@pytest.mark.parametrize("broken", ["import os; os.fork()", "import subprocess; subprocess.run(['true'])",
                                    "import socket; socket.socket(socket.AF_UNIX)",
                                    "import socket; socket.socket(socket.AF_INET6)"])  # fmt: skip
def test_the_filter_refuses_what_the_page_refuses(broken: str) -> None:
    """Negative control of the test above."""
    allowed = "import socket, threading; socket.socket(); t = threading.Thread(target=int); t.start(); t.join()"
    for code, ends_well in ((allowed, True), (broken, False)):
        done = subprocess.run([sys.executable, "-c", code], preexec_fn=refuse_calls, capture_output=True, check=False)
        assert (done.returncode == 0) is ends_well, done.stderr


def wheel(folder: Path, name: str, version: str) -> None:
    """A package with nothing in it, as an index would hold it."""
    info = f"{name}-{version}.dist-info"
    with zipfile.ZipFile(folder / f"{name}-{version}-py3-none-any.whl", "w") as made:
        made.writestr(f"{name}.py", "")
        made.writestr(f"{info}/METADATA", f"Metadata-Version: 2.1\nName: {name}\nVersion: {version}\n")
        made.writestr(f"{info}/WHEEL", "Wheel-Version: 1.0\nRoot-Is-Purelib: true\nTag: py3-none-any\n")
        made.writestr(f"{info}/RECORD", f"{name}.py,,\n{info}/METADATA,,\n{info}/WHEEL,,\n{info}/RECORD,,\n")


REQUIRED = (("click", "8.1.99"), ("msgspec", "0.19.99"), ("prometheus_client", "0.20.99"))  # of requirements.txt


def fill_index(folder: Path) -> None:
    """All that `build` installs, and nothing else."""
    for name, version in REQUIRED:
        wheel(folder, name, version)


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """What `build` needs of the repository, and an index without a network beside it."""
    root = tmp_path / "checkout"
    (root / "deploy").mkdir(parents=True)
    (root / "stonetrack").mkdir()
    for name in ("deploy/build.sh", "requirements.txt", "stonetrack/api.py"):
        shutil.copy(ROOT / name, root / name)
    (tmp_path / "index").mkdir()
    return root


def build(root: Path) -> subprocess.CompletedProcess[str]:
    env = {"PATH": os.environ["PATH"], "HOME": str(root.parent), "PIP_NO_INDEX": "1", "PIP_CONFIG_FILE": os.devnull,
           "PIP_FIND_LINKS": str(root.parent / "index")}  # fmt: skip
    command = ["/bin/sh", "-c", DEPLOY["build"]]
    return subprocess.run(command, cwd=root, env=env, capture_output=True, text=True, check=False)


def test_build_without_a_registry_says_so_and_the_next_one_goes_on(checkout: Path) -> None:
    done = build(checkout)
    assert done.returncode == 1 and "build: the packages in requirements.txt could not be installed" in done.stderr
    assert not (checkout / ".venv" / "requirements.installed").exists()
    fill_index(checkout.parent / "index")
    done = build(checkout)
    assert done.returncode == 0, done.stderr
    shutil.rmtree(checkout.parent / "index")  # what is built needs no registry again
    assert build(checkout).returncode == 0


@pytest.mark.parametrize("left", ["a dangling interpreter", "no pip", "an older stamp"])
def test_build_mends_an_older_or_half_made_environment(checkout: Path, left: str) -> None:
    fill_index(checkout.parent / "index")
    venv = checkout / ".venv"
    if left == "an older stamp":
        subprocess.run([sys.executable, "-m", "venv", str(venv)], check=True)
        (venv / "requirements.installed").write_text("3.9.1\nclick==7\n", "utf-8")
    elif left == "no pip":
        subprocess.run([sys.executable, "-m", "venv", "--without-pip", str(venv)], check=True)
    else:
        (venv / "bin").mkdir(parents=True)
        (venv / "bin" / "python").symlink_to("/nowhere/python3.9")
    done = build(checkout)
    assert done.returncode == 0, done.stderr
    subprocess.run([".venv/bin/python", "-c", "import click, msgspec, prometheus_client"], cwd=checkout, check=True)
