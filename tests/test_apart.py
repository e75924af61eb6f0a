"""What a plain server imports, and that its `run` is one process that starts nothing."""

import json
import re
import subprocess
import sys
import tomllib

from test_start import GOOD, ROOT

# Parts that a server does without, and the libraries that are theirs alone. structlog brings asyncio and
# with it subprocess, which nothing of ours uses, and would bring rich if it were there: hence blessed.
APART = ("vetchford.fleet", "vetchford.peers", "vetchford.subsets", "vetchford.turns", "vetchford.signals",
"vetchford.neighbours", "vetchford.declared", "vetchford.pools",
         "vetchford.benchlink", "standins", "lark", "msgspec", "xxhash", "rich.console", "blessed", "sqlite3",
         "multiprocessing")  # fmt: skip


def imported(program, *given):
    ran = subprocess.run(
        [sys.executable, "-O", "-X", "importtime", *program, *given],
        cwd=ROOT, capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    return ran, {
        line.rpartition("|")[2].strip() for line in ran.stderr.splitlines() if "import time:" in line
    }


def test_a_plain_server_imports_none_of_the_parts_that_it_does_not_use(tmp_path):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(GOOD))
    # As `serve` does, up to the sockets: all its modules are imported by then.
    program = (
        "import json, sys, threading\n"
        "from vetchford import cli\nfrom vetchford.lifecycle import server\n"
        "import signal\nheld = iter([signal.SIGTERM])\n"
        "signal.sigwait = lambda which: next(held, None) or threading.Event().wait()\n"
        f"sys.exit(cli.main(['--config', {str(file)!r}, 'serve']))"
    )
    ran, names = imported(["-c", program])
    assert ran.returncode == 0, ran.stderr[-2000:]
    assert "vetchford.wire.balancers" in names and "vetchford.module" in names
    wrong = {name for name in names for part in APART if name == part or name.startswith(part + ".")}
    assert not wrong


def test_run_is_one_process_by_exec_and_nothing_in_a_server_starts_another():
    told = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert re.fullmatch(r"exec \.venv/bin/python -O -m vetchford serve", told["run"])
    files = [ROOT / name for name in told["node"]] + [ROOT / name for name in told["policy"]]
    code = "".join(
        path.read_text()
        for file in files
        for path in (sorted(file.rglob("*.py")) if file.is_dir() else [file])
    )
    assert not re.search(r"os\.fork|os\.exec|os\.spawn|subprocess|AF_UNIX|sendfile|splice|io_uring", code)


# A package and what it may import of ours; arrows run one way, from programs down to plain data.
BELOW = {
    "actors": set(),
    "memory": set(),
    "wire": {"actors", "wire"},
    "peers": {"actors", "peers"},
    "pools": {"actors", "pools", "startup"},
    "subsets": {"subsets"},
    "turns": {"turns"},
    "signals": {"signals"},
    "neighbours": {"actors", "fleet", "neighbours", "peers", "signals", "subsets", "turns"},
    "declared": {"declared", "startup"},
    "fleet": {"actors", "fleet", "peers"},
}


def test_imports_run_one_way():
    for package, allowed in BELOW.items():
        for path in sorted((ROOT / "vetchford" / package).rglob("*.py")):
            for found in re.findall(
                r"^\s*(?:from|import) vetchford\.?(\w*)(?: import (\w+))?", path.read_text(), re.M
            ):
                name = found[0] or found[1]
                assert name in allowed | {package}, f"{path.name} of {package} imports {name}"
