"""Output, error lines and exit status of each command, and the settings read."""

import json
from concurrent.futures import ThreadPoolExecutor

import pytest

from golden import harness
from golden.fakes import SETTINGS

PARALLEL_COMMANDS = 4

PLATFORM = {
    "name": "n1",
    "listen": "127.0.0.1:10100",
    "pool": "127.0.0.1:4400",
    "records": "127.0.0.1:7700",
    "members": "127.0.0.1:2379",
    "seed": "8c1f30d27a5be964",
    "stop_ms": 3200,
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 128},
    "settings": SETTINGS,
}

FULL_PLATFORM = {
    **PLATFORM,
    "settings": {
        "familyInfo": {
            **SETTINGS["familyInfo"],
            "linger": 250,
            "cold": True,
            "callerIdle": 30_000_000_000,
        },
        "requestClasses": [
            {
                "name": "read",
                "worth": 1.0,
                "lateWorth": 0.25,
                "promise": 2_000_000_000,
                "deadline": 6_000_000_000,
                "effect": "read_like",
            },
            {
                "name": "pay",
                "worth": 3.0,
                "promise": 3_000_000_000,
                "deadline": 8_000_000_000,
                "effect": "idempotency_key",
                "window": 13_000_000_000,
            },
            {"name": "ship", "worth": 2.0, "deadline": 9_000_000_000, "effect": "non_idempotent"},
        ],
        "customers": [{"name": "acme", "quotaPerS": 100.0}, {"name": "beta", "quotaPerS": 5}],
        "rules": {
            "fallMultiple": 8.0,
            "coldFrom": 0.24,
            "rampTime": 18_000_000_000,
            "drainGrace": 100_000_000,
        },
        "goal": {"whole": 0.9, "worstWindow": 0.5, "worstClass": 0.3},
        "caps": {"retryAfter": True, "maxRetryAfter": 1_000_000_000},
        "valueBy": "class",
        "servers": 12,
        "overShareWorth": 0.5,
        "unknownKey": [1],
    },
}

FULL_SETTINGS = """// Each key of the form once, in each way of writing it.
version: 1
#Mine: {share: *25% | number, lends: false, ...}
pools: {
	gate: #Mine & {
		stages: ["read"]
		bytes: 0.125
		calls: 10%
		reserve: 2, borrows: false
		call_budget: 1m
		most_calls: 6_4
	}
	charges: {
		stages: ["pay", "ship"], share: 7.5e+1%
	}
}
agent: {
	socket: "run/agent.sock"
	store: "run/agent.store"
	logs: "run/l\\u00f6gs"
	instances: {
		n1: {
			command: ["serve", "--port", "{listen}"]
			listen: "127.0.0.1:10181"
			version: "v1"
			group: "pay"
			labels: ["a", "b"]
			stop_ms: 2.5s
			ready_ms: 1m
			restart: false
			environment: {LANG: "C", "odd key": "\\"x\\""}
			log_mb: 16
			descriptors: 1024
			memory_mb: 512
		}
		"n2": {command: ["serve"], listen: "127.0.0.1:10182"}
	}
	peers: {fleet: "pay", name: "east", listen: "127.0.0.1:10301"
		agents: {east: "127.0.0.1:10301", west: "127.0.0.1:10302"}}
	versions: v2: ["serve", "{name}"]
}
together: {
	fleet: "pay"
	name: "s1"
	listen: "127.0.0.1:10401"
	servers: {s1: "127.0.0.1:10401", s2: "127.0.0.1:10402", s3: "127.0.0.1:10403"}
	keepers: ["s1", "s2", "s3"]
	zone: "a"
	probes: 3
	turns: deep: 2
	records: true
	full: false
}
"""

GOOD = 'version: 1\npools: gate: {stages: ["read"], share: *20% | number}\n'

WRONG_SETTINGS = {
    "two values": 'version: 1\npools: a: {stages: ["x"], share: 20%}\npools: a: share: 0.3\n',
    "a record for a value": 'version: 1\npools: a: {stages: ["x"], share: {}}\n',
    "a value for a record": 'version: 1\nagent: "x"\n',
    "lists of two lengths": 'version: 1\npools: a: {stages: ["x"], share: 1}\npools: a: stages: ["x", "y"]\n',
    "kinds that exclude each other": 'version: 1\npools: a: {stages: ["x"], share: 1, reserve: string}\n',
    "a key of no record": 'version: 1\npools: a: {stages: ["x"], share: pools.a.stages.first}\n',
    "empty": "",
    "unknown key": GOOD + "pool: 1\n",
    "unknown key inside": 'version: 1\npools: gate: {stages: ["read"], share: 20%, sharing: 1}\n',
    "missing keys": "version: 1\npools: gate: {}\n",
    "out of bounds": 'version: 1\npools: gate: {stages: ["read"], share: 20%, reserve: 9, call_budget: 2h}\n',
    "wrong kinds": 'version: "1"\npools: gate: {stages: "read", share: true, lends: 1, call_budget: 5}\n',
    "conflict": GOOD + "pools: gate: share: 30%\npools: gate: share: 40%\n",
    "two defaults": 'version: 1\n#a: *1 | *2 | int\npools: gate: {stages: ["a"], share: 20%, reserve: #a}\n',
    "unknown reference": "version: 1\npools: #None\n",
    "unknown name": "version: 1\npools: gate: {stages: [a.b], share: c}\n",
    "reference in a circle": "version: 1\n#a: #b\n#b: #a\npools: #a\n",
    "endless record": "version: 1\n#a: {b: #a}\npools: #a\n",
    "one stage in two pools": 'version: 1\npools: {a: {stages: ["x"], share: 1}, '
    'b: {stages: ["x"], share: 1}}\n',
    "bad unit": 'version: 1\npools: gate: {stages: ["x"], share: 20parts}\n',
    "part of a byte": 'version: 1\n#a: 0.5B\npools: "none"\n',
    "bad string": 'version: 1\npools: "no\\x"\n',
    "unclosed string": 'version: 1\npools: "none\n',
    "unclosed record": "version: 1\npools: {\n",
    "unexpected character": "version: 1\npools: $\n",
    "unexpected word": "version: : 1\npools: = 3\n",
    "nested too deep": "version: 1\npools: " + "{a: " * 60 + "1" + "}" * 60 + "\n",
    "digits": "version: 1" + "0" * 50 + "\n",
    "empty choice": "version: 1\npools: 1 | 2\n",
    "bound on a word": "version: 1\npools: gate: {stages: [>3], share: 20%}\n",
    "word with a blank": 'version: 1\npools: "a b": {stages: ["x"], share: 20%}\n',
    "agent incomplete": 'version: 1\nagent: {socket: "a", instances: n1: {command: []}}\n',
    "together incomplete": 'version: 1\ntogether: {fleet: "f", keepers: [], servers: {s1: 5}}\n',
    "together without itself": 'version: 1\ntogether: {fleet: "f", name: "s9", listen: "127.0.0.1:1", '
    'servers: {s1: "127.0.0.1:1"}, keepers: ["s7"]}\n',
    "addresses": 'version: 1\ntogether: {fleet: "f", name: "s1", listen: "here", '
    'servers: {s1: "nowhere", s2: "127.0.0.1:0"}, keepers: ["s1"]}\n',
    "peers without itself": 'version: 1\nagent: {socket: "a", store: "b", logs: "c", '
    'instances: {n: {command: ["c"], listen: "127.0.0.1:3"}}, '
    'peers: {fleet: "f", name: "x", listen: "127.0.0.1:1", agents: {y: "127.0.0.1:2"}}}\n',
    "shares over one": 'version: 1\npools: {a: {stages: ["x"], share: 80%}, '
    'b: {stages: ["y"], share: 120%}}\n',
}

WRONG_PLATFORM = {
    "no name": {"name": None},
    "name of two words": {"name": "two words"},
    "listen": {"listen": "here"},
    "pool": {"pool": "127.0.0.1:x"},
    "records": {"records": "localhost:5"},
    "members": {"members": 7},
    "seed": {"seed": "xyz"},
    "stop_ms": {"stop_ms": 0},
    "limits": {"limits": None},
    "limits.sockets": {"limits": {"sockets": 3}},
    "settings": {"settings": []},
    "no classes": {"settings": {**SETTINGS, "requestClasses": []}},
    "values of the wrong kind": {
        "settings": {
            **SETTINGS,
            "familyInfo": {**SETTINGS["familyInfo"], "cores": "two", "say": 5, "ownStats": "x", "cold": 1},
            "requestClasses": [{"name": 3, "effect": "maybe", "deadline": 0, "promise": -1}, 5],
            "customers": [{"name": "acme", "quotaPerS": True}],
            "caps": {"retryAfter": "yes"},
            "goal": [],
        }
    },
}

USAGES = {
    "nothing": (),
    "unknown command": ("start",),
    "unknown option": ("check", "--loud"),
    "wrong log level": ("--log-level", "loud", "version"),
    "wrong log form": ("--log-form", "xml", "check"),
    "version": ("version",),
    "version option": ("--version",),
    "help": ("--help",),
    "schema": ("settings", "--schema"),
    "check without a file": ("check",),
    "serve without a file": ("serve",),
    "agent without a file": ("agent",),
    "check, no such file": ("check", "--config", "DIR/none.json"),
    "check, no such settings": ("check", "--with", "DIR/none.vet"),
    "check, two wrong": ("check", "--with", "DIR/two.vet", "--with", "DIR/none.vet"),
    "settings, no such file": ("settings", "--config", "DIR/none.json"),
    "serve, no such settings": ("serve", "--config", "DIR/full.json", "--with", "DIR/none.vet"),
    "agent, settings without one": ("agent", "--with", "DIR/good.vet"),
    "agent, no such settings": ("agent", "--with", "DIR/none.vet"),
    "check, both": ("check", "--config", "DIR/full.json", "--with", "DIR/full.vet"),
    "check, settings alone": ("check", "--with", "DIR/full.vet"),
    "check, several": ("check", "--with", "DIR/good.vet", "--with", "DIR/site.vet"),
    "check, a stage of no server": ("check", "--config", "DIR/full.json", "--with", "DIR/other.vet"),
    "settings, all keys": ("settings", "--config", "DIR/full.json", "--with", "DIR/full.vet"),
    "settings, platform's alone": ("settings", "--config", "DIR/full.json"),
    "settings, several": (
        "settings",
        "--config",
        "DIR/good.json",
        "--with",
        "DIR/good.vet",
        "--with",
        "DIR/site.vet",
    ),
    "settings, derived": ("settings", "--config", "DIR/good.json", "--with", "DIR/derived.vet"),
    "not JSON": ("check", "--config", "DIR/text.json"),
    "no object": ("check", "--config", "DIR/list.json"),
    "not UTF-8": ("check", "--with", "DIR/latin.vet"),
    "fleet help": ("fleet", "--help"),
    "fleet, nothing": ("fleet",),
    "fleet, no socket": ("fleet", "status"),
    "fleet, wrong number": ("fleet", "--socket", "DIR/none", "--batch", "x", "start", "all"),
    "fleet, no version": ("fleet", "--socket", "DIR/none", "roll", "all"),
    "fleet, no agent: status": ("fleet", "--socket", "DIR/none", "status"),
    "fleet, no agent: json": ("fleet", "--socket", "DIR/none", "--json", "start", "all"),
    "fleet, no agent: across": ("fleet", "--socket", "DIR/none", "--across", "--json", "stop", "all"),
    "fleet, no agent: peers": ("fleet", "--socket", "DIR/none", "peers"),
}


def run_command(folder, *arguments):
    """Run a command and return its results, with DIR in place of the folder of the test."""
    result = harness.run(*(word.replace("DIR", str(folder)) for word in arguments))
    rules = harness.Normaliser({str(folder): "DIR"})
    return {"status": result.returncode, "out": rules.text(result.stdout), "err": rules.text(result.stderr)}


def run_commands(folder, commands):
    with ThreadPoolExecutor(PARALLEL_COMMANDS) as pool:
        results = pool.map(lambda arguments: run_command(folder, *arguments), commands.values())
        return dict(zip(commands, results, strict=True))


@pytest.fixture
def folder(tmp_path):
    files = {
        "full.json": json.dumps(FULL_PLATFORM),
        "good.json": json.dumps(PLATFORM),
        "text.json": "{'name': 1}",
        "list.json": "[]",
        "full.vet": FULL_SETTINGS,
        "good.vet": GOOD,
        "site.vet": "pools: gate: {share: 30%, reserve: 1}\n",
        "two.vet": "version: 2\npools: 7\n",
        "other.vet": 'version: 1\npools: gate: {stages: ["nobody"], share: 20%}\n',
        "derived.vet": 'version: 1\npools: "derived"\n',
    }
    for name, text in files.items():
        (tmp_path / name).write_text(text, encoding="utf-8")
    (tmp_path / "latin.vet").write_bytes(b"version: \xff")
    return tmp_path


def test_usage_help_and_results(folder):
    harness.compare("commands", run_commands(folder, USAGES))


def test_each_kind_of_wrong_settings(tmp_path):
    commands = {}
    for number, (name, text) in enumerate(WRONG_SETTINGS.items()):
        (tmp_path / f"{number}.vet").write_text(text, encoding="utf-8")
        commands[name] = ("check", "--with", f"DIR/{number}.vet")
    harness.compare("wrong_settings", run_commands(tmp_path, commands))


def test_each_kind_of_wrong_platform_file(tmp_path):
    commands = {}
    for number, (name, overrides) in enumerate(WRONG_PLATFORM.items()):
        (tmp_path / f"{number}.json").write_text(json.dumps({**PLATFORM, **overrides}), encoding="utf-8")
        commands[name] = ("check", "--config", f"DIR/{number}.json")
    harness.compare("wrong_platform", run_commands(tmp_path, commands))
