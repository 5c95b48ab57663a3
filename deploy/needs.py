"""Checks that this environment contains the pinned packages that a requirements file lists.

Prints one line for each problem, and then exits with status 1.
"""

from __future__ import annotations

import sys
from importlib import import_module, metadata
from pathlib import Path


def find_problems(requirements: str) -> list[str]:
    """Returns one line for each problem of the installed packages.

    The size of each file is compared with the size that the installer recorded, because an interrupted
    installation leaves a package with its metadata and only some of its files.

    :param requirements: lines of NAME==VERSION
    """
    problems = list[str]()
    for requirement in filter(None, map(str.strip, requirements.splitlines())):
        name, _, version = requirement.partition("==")
        try:
            installed = metadata.distribution(name)
        except metadata.PackageNotFoundError:
            problems.append(f"{name} is not installed")
            continue
        if installed.version != version:
            problems.append(f"{name} has version {installed.version}, expected {version}")
        for file in installed.files or ():
            path = Path(str(file.locate()))
            if path.parent.name == "__pycache__":  # the interpreter rewrites these files
                continue
            if file.size is not None and (not path.is_file() or path.stat().st_size != file.size):
                problems.append(f"{name}: {file} is missing or has the wrong size")
                break
        try:
            import_module(name)
        except Exception as error:  # the gateway would fail with the same exception
            problems.append(f"{name} can't be imported: {error}")
    return problems


if __name__ == "__main__":
    lines = find_problems(Path(sys.argv[1]).read_text(encoding="utf-8"))
    print(*lines, sep="\n", end="\n" if lines else "", file=sys.stderr)
    sys.exit(bool(lines))
