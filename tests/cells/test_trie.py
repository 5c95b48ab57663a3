"""Tenants by name, prefix and pattern: the most specific wins, whatever else is there."""

from __future__ import annotations

import fnmatch

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lotusstream.cells.errors import PatternError
from lotusstream.cells.trie import NameTrie


def test_the_most_specific_entry_wins() -> None:
    """Several entries match one tenant. A less specific one must not take it into another cell."""
    trie = NameTrie([("uni-*", "prefix"), ("uni-perth", "exact"), ("uni-p*h", "pattern"), ("*", "rest"),
                     ("*-library", "ending"), ("uni-perth-*", "longer"), ("uni-????", "short")])  # fmt: skip
    told = {name: trie.find(name) for name in
            ("uni-perth", "uni-perth-east", "uni-patch", "uni-bath", "uni-x", "state-library", "",
             "uni")}  # fmt: skip
    assert told == {
        "uni-perth": "exact", "uni-perth-east": "longer", "uni-patch": "pattern", "uni-bath": "short",
        "uni-x": "prefix", "state-library": "ending", "": "rest", "uni": "rest",
    }  # fmt: skip


def test_a_name_that_nothing_fits_has_no_value() -> None:
    """No entry matches, though some share a beginning with the name."""
    trie = NameTrie([("abc", 1), ("abd*", 2)])
    assert [trie.find(name) for name in ("ab", "abcd", "abde", "x", "")] == [None, None, 2, None, None]


@pytest.mark.parametrize("entry", ["", "x" * 257, "a*b*c*d*e*f", "twice"])
def test_an_entry_that_can_not_be_is_turned_down(entry: str) -> None:
    """An entry is empty, too long, too costly to match, or given twice: the second would silently replace
    the first."""
    with pytest.raises(PatternError):
        NameTrie([("twice", 1)]).add(entry, 2)


ENTRIES = st.lists(st.text("ab*?", min_size=1, max_size=6).filter(lambda e: e.count("*") <= 4), unique=True)


@given(ENTRIES, st.text("ab", max_size=7))
def test_what_is_found_fits_and_nothing_with_more_literals_does(entries: list[str], name: str) -> None:
    """Whatever the entries, the one found matches the name, and no other that matches has more literal
    characters."""
    found = NameTrie((entry, entry) for entry in entries).find(name)
    fitting = [entry for entry in entries if fnmatch.fnmatchcase(name, entry)]
    if found is None:
        assert not fitting
        return
    literals = {entry: len(entry) - entry.count("*") - entry.count("?") for entry in fitting}
    assert found == name or (literals[found] == max(literals.values()) and name not in fitting)
