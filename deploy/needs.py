"""Does this environment hold all that a file of pinned needs names? Status 1 and a line for what is amiss."""

from __future__ import annotations

import sys
from importlib import import_module, metadata
from pathlib import Path


def amiss(needs: str) -> list[str]:
    """`needs`: lines of NAME==VERSION. Each one's files are held against the sizes its installer wrote down:
    an installation that was cut off in its midst has its metadata and not all else."""
    found = list[str]()
    for need in filter(None, map(str.strip, needs.splitlines())):
        name, _, version = need.partition("==")
        try:
            there = metadata.distribution(name)
        except metadata.PackageNotFoundError:
            found.append(f"{name} is missing")
            continue
        if there.version != version:
            found.append(f"{name} is {there.version}, to be {version}")
        for file in there.files or ():
            path = Path(str(file.locate()))
            if path.parent.name == "__pycache__":  # compiled anew by whoever reads them
                continue
            if file.size is not None and (not path.is_file() or path.stat().st_size != file.size):
                found.append(f"{name}: {file} is not whole")
                break
        try:
            import_module(name)
        except Exception as error:  # whatever it is, the gateway would meet it
            found.append(f"{name} can't be imported: {error}")
    return found


if __name__ == "__main__":
    lines = amiss(Path(sys.argv[1]).read_text(encoding="utf-8"))
    print(*lines, sep="\n", end="\n" if lines else "", file=sys.stderr)
    sys.exit(bool(lines))
