"""One gateway examines engines for all: what it tells, and what others make of it."""

from hypothesis import given
from hypothesis import strategies as st

from lotusstream import interface as api
from lotusstream.healthcheck import checker as ex
from lotusstream.healthcheck import peer_reports as hs
from lotusstream.healthcheck.reports import HealthCheckOptions, HealthReports, Row

MS, S = 1_000, 1_000_000
TERMS = HealthCheckOptions(S, most=2)
A, B, C = b"a", b"b", b"c"


class Watch:
    """An examiner, and what it said last."""

    def __init__(self, *engines, token=1):
        self.now, self.examiner = 0, ex.HealthChecker(token, TERMS, 0)
        self.news, self.looks = None, []
        self.tell(ex.Listed(engines))
        self.wait(S)

    def tell(self, event):
        actions = self.examiner.handle(self.now, event)
        self.looks += [each.engine for each in actions if isinstance(each, ex.Look)]
        for each in actions:
            if isinstance(each, ex.Tell):
                self.news = each.news

    def wait(self, span):
        self.now += span
        self.tell(ex.Tick())

    def find(self, engine, answers, sure=False):
        self.wait(S)
        self.tell(ex.Found(engine, answers, sure))

    @property
    def silent(self):
        return {row.engine for row in self.news.rows if not row.answers}


def test_one_lost_look_says_nothing_and_two_in_a_row_do():
    watch = Watch(A, B)
    watch.find(A, True)
    watch.find(A, False)
    assert not watch.silent
    watch.find(A, False)
    assert watch.silent == {A}


def test_a_refused_connection_needs_no_second_look():
    watch = Watch(A, B)
    watch.find(A, False, sure=True)
    assert watch.silent == {A}
    watch.find(A, True)
    assert not watch.silent and Row(A, True) in watch.news.rows


def test_what_is_listed_no_more_is_told_of_no_more():
    watch = Watch(A, B)
    watch.find(A, False, sure=True)
    watch.tell(ex.Listed((B,)))
    watch.find(A, False)  # a look that was out
    watch.wait(S)
    assert not watch.news.rows


@given(st.lists(st.tuples(st.sampled_from([A, B, C]), st.booleans(), st.integers(1, S)), max_size=60))
def test_no_more_looks_are_out_than_told_and_every_engine_is_looked_at(founds):
    watch = Watch(A, B, C)
    out = set(watch.looks)
    for engine, answers, span in founds:
        watch.looks = []
        watch.now += span
        watch.tell(ex.Found(engine, answers))
        out = (out - {engine}) | set(watch.looks)
        assert len(out) <= TERMS.most
    watch.looks = []
    for _ in range(40):  # looks that never end are given up in time
        watch.wait(S)
        for engine in list(watch.looks[-2:]):
            watch.tell(ex.Found(engine, True))
    assert set(watch.looks) == {A, B, C}


def hearing(name="n1"):
    return hs.PeerReports(name, ("k1", "k2", "k3"), TERMS, 0)


def news(number, *rows, token=1):
    return hs.Heard(HealthReports(token, number, tuple(Row(*row) for row in rows)))


def words(actions):
    return [each for each in actions if isinstance(each, api.PeerHealthReported)]


def test_only_an_engine_that_was_silent_is_told_of_as_back():
    here = hearing()
    assert not words(here.handle(1, news(1, (A, True))))  # it may answer and do no work all along
    assert words(here.handle(2, news(2, (A, False)))) == [api.PeerHealthReported(A, False)]
    assert words(here.handle(3, news(3, (A, True)))) == [api.PeerHealthReported(A, True)]
    assert not words(here.handle(4, news(4, (A, True))))


def test_what_an_earlier_holder_says_late_counts_for_nothing():
    here = hearing()
    here.handle(1, news(1, token=2))
    assert not words(here.handle(2, news(99, (A, False), token=1)))
    assert here.standing.token == 2


def test_an_engine_found_silent_by_one_holder_is_told_of_as_back_by_the_next():
    here = hearing()
    here.handle(1, news(7, (A, False), token=1))
    assert not words(here.handle(2, news(1, token=2)))  # it has not looked yet
    assert words(here.handle(3, news(2, (A, True), token=2))) == [api.PeerHealthReported(A, True)]


def test_news_that_was_kept_for_long_says_nothing():
    here = hearing()
    late = hs.Heard(HealthReports(1, 1, (Row(A, False),)), TERMS.old + 1)
    assert not words(here.handle(1, late))
    here.handle(2, news(2, (A, False)))
    here.handle(2 + 2 * TERMS.old + 1, hs.Tick())
    assert not here.standing.silent


def test_another_keeper_is_asked_where_one_has_nothing_to_tell():
    here, asked = hearing(), []
    for at in range(0, 3 * (TERMS.old + S), S):
        asked += [each.keeper for each in here.handle(at, hs.Tick()) if isinstance(each, hs.Subscribe)]
    assert set(asked) == {"k1", "k2", "k3"}
