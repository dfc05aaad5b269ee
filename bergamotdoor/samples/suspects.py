"""Which upstreams lag behind the others, by their share of late runs."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bergamotdoor.types import UpstreamId

_LEAST_LATE: Final = 2
_LEAST_SHARE: Final = 0.5
_TIMES_OTHERS: Final = 2


class UpstreamRecords:
    """Counts the prompt and the late runs of each upstream.

    Lengths are heavy-tailed, so one late run says little: it may just be
    long, and a second run of it would be as long. An upstream most of
    whose runs are late, while the others' are not, is slow or hangs.
    """

    def __init__(self) -> None:
        self._prompt: Counter[UpstreamId] = Counter()
        self._late: Counter[UpstreamId] = Counter()

    def finished(self, upstream: UpstreamId, *, late: bool) -> None:
        """Count a run that ended well."""
        counts = self._late if late else self._prompt
        counts[upstream] += 1

    def suspects(self, running: Counter[UpstreamId]) -> frozenset[UpstreamId]:
        """Return the upstreams to run samples away from.

        Parameters
        ----------
        running
            Runs in flight that are late, by upstream.
        """
        late = self._late + running
        suspects = frozenset(self._lagging(late))
        # Where most of them lag, there is no better place to go to.
        known = late.keys() | self._prompt.keys()
        return suspects if len(suspects) * 2 <= len(known) else frozenset()

    def _lagging(self, late: Counter[UpstreamId]) -> Iterator[UpstreamId]:
        late_total = late.total()
        prompt_total = self._prompt.total()
        for upstream, count in late.items():
            prompt = self._prompt[upstream]
            others_late = late_total - count
            others_prompt = prompt_total - prompt
            if count < _LEAST_LATE or others_prompt == 0:
                continue
            share = count / (count + prompt)
            others = others_late / (others_late + others_prompt)
            if share >= max(_LEAST_SHARE, others * _TIMES_OTHERS):
                yield upstream
