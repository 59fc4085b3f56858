"""Tables over the fates of requests: by route, size and second, and what went before."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from croftchute.account.log_lines import Fate, RequestStory

SIZE_EDGES = (10_000, 20_000, 30_000, 45_000)
"""Tokens between the size groups: an engine of today's largest site keeps 45,991."""

MOST_CAUSES = 20
"""Causes that are listed at most, the most frequent first."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Table:
    """A heading, the names of the columns, and the rows."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]

    def text(self) -> str:
        """The table in columns of equal width.

        >>> print(Table(title="t", columns=("a", "b"), rows=(("x", "10"),)).text())
        t
          a  b
          x  10
        """
        widths = [
            max(len(row[at]) for row in (self.columns, *self.rows))
            for at in range(len(self.columns))
        ]
        lines = [
            "  " + "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
            for row in (self.columns, *self.rows)
        ]
        return "\n".join([self.title, *(line.rstrip() for line in lines)])


def size_group(tokens: int) -> str:
    """The size group of a request by the tokens that it asked room for.

    >>> size_group(0), size_group(9_000), size_group(25_000), size_group(50_000)
    ('no room asked', '0-10k', '20-30k', '45k and more')
    """
    if tokens <= 0:
        return "no room asked"
    low = 0
    for edge in SIZE_EDGES:
        if tokens < edge:
            return f"{low // 1000}-{edge // 1000}k"
        low = edge
    return f"{low // 1000}k and more"


def account(stories: Sequence[RequestStory]) -> list[Table]:
    """All tables."""
    begun_at = min((story.began_at for story in stories), default=0.0)
    return [
        fate_table("Requests by route", stories, lambda s: s.route or "route not logged"),
        fate_table("Requests by organisation", stories, lambda s: s.organisation or "none"),
        fate_table("Streams by size", _streams(stories), lambda s: size_group(s.tokens)),
        fate_table("Requests by second", stories, lambda s: f"{int(s.began_at - begun_at):4d}"),
        _ends("Refused or broken off, by cause", stories),
        _steps("What requests went through, by size", stories),
    ]


def _streams(stories: Iterable[RequestStory]) -> list[RequestStory]:
    return [story for story in stories if story.tokens > 0]


def fate_table(
    title: str, stories: Iterable[RequestStory], key: Callable[[RequestStory], str]
) -> Table:
    """How requests ended, by a key that each of them has."""
    counts_by_key: dict[str, Counter[Fate]] = {}
    for story in stories:
        counts_by_key.setdefault(key(story), Counter())[story.fate] += 1
    rows = []
    for name in sorted(counts_by_key):
        counts = counts_by_key[name]
        share = counts[Fate.IN_TIME] / counts.total()
        rows.append((name, *(str(counts[fate]) for fate in Fate), f"{share:.3f}"))
    columns = ("", *(fate.value for fate in Fate), "share in time")
    return Table(title=title, columns=columns, rows=tuple(rows))


def _ends(title: str, stories: Iterable[RequestStory]) -> Table:
    ended = [s for s in stories if s.fate in (Fate.REFUSED, Fate.BROKEN, Fate.LEFT)]
    lasted_by_cause: dict[str, list[float]] = {}
    for story in ended:
        lasted_by_cause.setdefault(f"{story.fate}: {story.cause}", []).append(story.lasted_s)
    ordered = sorted(lasted_by_cause.items(), key=lambda entry: -len(entry[1]))
    rows = tuple(
        (cause, str(len(lasted)), f"{sum(lasted) / len(lasted):.2f}", f"{max(lasted):.2f}")
        for cause, lasted in ordered[:MOST_CAUSES]
    )
    return Table(title=title, columns=("cause", "requests", "mean s", "longest s"), rows=rows)


def _steps(title: str, stories: Iterable[RequestStory]) -> Table:
    counts_by_group: dict[str, Counter[str]] = {}
    for story in stories:
        counts_by_group.setdefault(size_group(story.tokens), Counter()).update(story.counts)
    rows = [
        (group, what, str(count))
        for group in sorted(counts_by_group)
        for what, count in counts_by_group[group].most_common(MOST_CAUSES)
    ]
    return Table(title=title, columns=("size", "step", "times"), rows=tuple(rows))
