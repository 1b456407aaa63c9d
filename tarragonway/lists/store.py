"""The replicated state of the two lists."""

import msgspec

from tarragonway.core.errors import SettingsError
from tarragonway.core.ids import ChangeId, Revision
from tarragonway.lists.check import check_lists

MAX_REMEMBERED_CHANGES = 5000


class ApplyLists(msgspec.Struct, frozen=True, tag=True):
    """Command that replaces both lists if ``expected`` is the revision in force."""

    change: ChangeId
    expected: Revision
    accounts_text: str
    plans_text: str
    author: str


class ListsApplied(msgspec.Struct, frozen=True, tag=True):
    """Result of a change that was applied as ``revision``."""

    revision: Revision


class ListsConflict(msgspec.Struct, frozen=True, tag=True):
    """Result of a change that is not based on the revision in force.

    The fields describe the lists in force.
    """

    revision: Revision
    author: str
    accounts_text: str
    plans_text: str


class ListsRefused(msgspec.Struct, frozen=True, tag=True):
    """Result of a change whose lists failed the check; ``problem`` is the error."""

    problem: str


class ListStore(msgspec.Struct):
    """Lists in force, with the revisions that recent changes received.

    ``answers`` holds the revision of each of the last changes, so that a resent change
    is not applied twice.

    Examples
    --------
    >>> store = ListStore()
    >>> store.apply(ApplyLists(ChangeId("1"), Revision(0), "", "", "ada"))
    ListsApplied(revision=1)
    >>> store.apply(ApplyLists(ChangeId("1"), Revision(0), "", "", "ada"))
    ListsApplied(revision=1)
    """

    revision: Revision = Revision(0)
    accounts_text: str = ""
    plans_text: str = ""
    author: str = ""
    answers: dict[ChangeId, Revision] = {}

    def apply(self, change: ApplyLists) -> ListsApplied | ListsConflict | ListsRefused:
        """Apply a change once; a resend with the same id returns the first result."""
        known = self.answers.get(change.change)
        if known is not None:
            return ListsApplied(known)
        if change.expected != self.revision:
            return ListsConflict(
                self.revision, self.author, self.accounts_text, self.plans_text
            )
        try:
            check_lists(change.accounts_text, change.plans_text)
        except SettingsError as error:
            return ListsRefused(str(error))
        self.revision = Revision(self.revision + 1)
        self.accounts_text = change.accounts_text
        self.plans_text = change.plans_text
        self.author = change.author
        self._remember(change.change)
        return ListsApplied(self.revision)

    def _remember(self, change: ChangeId) -> None:
        self.answers[change] = self.revision
        while len(self.answers) > MAX_REMEMBERED_CHANGES:
            del self.answers[next(iter(self.answers))]
