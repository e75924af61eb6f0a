"""Files to one checked, typed record."""

import re
from pathlib import Path

import msgspec

from vetchford.configuration import records
from vetchford.configuration.errors import DeclaredError, Place, Problem, TooMuchError
from vetchford.configuration.parser import MOST_BYTES, Record, Reference, parse
from vetchford.configuration.unifier import ABSENT, Constraint, Scope, Unifier, ValueNode

SCHEMA = Path(__file__).with_name("schema.vet")
MOST_FILES = 8


def schema() -> str:
    return SCHEMA.read_text(encoding="utf-8")


def read(paths: list[str], stages: list[str] | None = None) -> records.Declared:
    """All files unified. `stages`: the platform's, to check names with.

    Raises DeclaredError with everything that is wrong.
    """
    problems: list[Problem] = []
    texts: list[tuple[str, str]] = []
    for path in paths[:MOST_FILES]:
        try:
            with open(path, "rb") as file:
                texts.append((path, file.read(MOST_BYTES + 1).decode("utf-8")))
        except OSError as problem:
            problems.append(Problem(Place(path, 1, 1), "", f"can't be read: {problem.strerror}"))
        except ValueError:
            problems.append(Problem(Place(path, 1, 1), "", "found bytes that are no UTF-8 text"))
    if len(paths) > MOST_FILES:
        problems.append(
            Problem(Place(paths[MOST_FILES], 1, 1), "", f"{MOST_FILES} files at most are unified")
        )
    return read_texts(texts, stages, problems)


def read_texts(
    texts: list[tuple[str, str]], stages: list[str] | None = None, problems: list[Problem] | None = None
) -> records.Declared:
    """As `read`, from pairs of a name and a text."""
    problems = problems if problems is not None else []
    parsed: list[Record] = []
    for name, text in texts:
        record, wrong = parse(text, name)
        problems += wrong
        if record is not None:
            parsed.append(record)
    form, wrong = parse(schema(), SCHEMA.name)
    assert form is not None and not wrong, wrong
    if any(not problem.path for problem in problems) and len(parsed) < len(texts) or not parsed:
        raise DeclaredError(problems or [Problem(Place("", 1, 1), "", "no file is named")])
    evaluation = Unifier(SCHEMA.name, [name for name, _ in texts])
    try:
        rules = evaluation.top([form])
        top = ValueNode("", 0)
        around = Scope(top, None, Scope(rules, None, None))
        for record in parsed:
            top.said.append(Constraint(record, around))
        top.said.append(Constraint(Reference(("#Settings",), Place(SCHEMA.name, 1, 1)), around))
        top.places = [Place(texts[-1][0], 1, 1)]
        evaluation.grow(top, [said for said in top.said if isinstance(said.node, Record)])
        plain = evaluation.value(top)
    except (TooMuchError, RecursionError) as much:
        text = str(much) if isinstance(much, TooMuchError) else "nested too deep"
        raise DeclaredError([*problems, Problem(Place(texts[0][0], 1, 1), "", text)]) from None
    problems += evaluation.problems or (evaluation.followed if plain is ABSENT else [])
    if problems or plain is ABSENT:
        raise DeclaredError(problems)
    try:
        declared = records.typed(plain)
    except msgspec.ValidationError as problem:
        path = re.search(r"`\$\.?(.*)`", str(problem))
        where = path[1] if path else ""
        text = str(problem).split(" - at ")[0]
        raise DeclaredError([Problem(placed(top, where, texts[-1][0]), where, text)]) from None
    agree(declared, top, stages, texts[-1][0])
    return declared


def placed(top: ValueNode, path: str, file: str) -> Place:
    """Where the key of a path stands, or the nearest above it."""
    vertex, place = top, Place(file, 1, 1)
    for label in re.split(r"[.\[]", path):
        if label not in vertex.children:
            break
        vertex = vertex.children[label]
        place = vertex.place(SCHEMA.name) or place
    return place


def agree(declared: records.Declared, top: ValueNode, stages: list[str] | None, file: str) -> None:
    """What no single value shows: an agent that is not of its fleet, stages in two pools or unknown."""
    peers = declared.agent.peers if declared.agent else None
    if peers is not None and peers.name not in peers.agents:
        path = "agent.peers.name"
        text = f"found '{peers.name}', which agents does not name; allowed: {', '.join(sorted(peers.agents))}"
        raise DeclaredError([Problem(placed(top, path, file), path, text)])
    together = declared.together
    if together is not None:
        for path, names in (("together.name", [together.name]), ("together.keepers", together.keepers)):
            for name in names:
                if name not in together.servers or names.count(name) > 1:
                    why = "twice" if name in together.servers else "which servers does not name"
                    text = f"found '{name}', {why}; allowed: {', '.join(sorted(together.servers))}, each once"
                    raise DeclaredError([Problem(placed(top, path, file), path, text)])
    if isinstance(declared.pools, str):
        return
    problems, owner = [], {}
    for name, pool in declared.pools.items():
        for stage in pool.stages:
            path = f"pools.{name}.stages"
            place = placed(top, path, file)
            if stage in owner:
                other = placed(top, f"pools.{owner[stage]}.stages", file)
                problems.append(
                    Problem(
                        place,
                        path,
                        f"found '{stage}', which pool '{owner[stage]}' has as well "
                        f"(at {other}); allowed: one pool for a stage",
                    )
                )
            elif stages is not None and stage not in stages:
                problems.append(
                    Problem(
                        place,
                        path,
                        f"found '{stage}', which is no stage of this server; allowed: {', '.join(stages)}",
                    )
                )
            owner.setdefault(stage, name)
    if problems:
        raise DeclaredError(problems)
