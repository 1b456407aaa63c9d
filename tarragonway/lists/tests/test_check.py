import pytest

from tarragonway.core.errors import SettingsError
from tarragonway.core.ids import ChangeId, Revision
from tarragonway.lists import check_lists
from tarragonway.lists.store import ApplyLists, ListsRefused, ListStore

ODD_TEXTS = [
    "x = " + "[" * 5000 + "]" * 5000,
    "x = " + "[" * 5000,
    "x = " + "{y = " * 5000 + "1" + "}" * 5000,
    "x = " + "9" * 5000,
    "x = 0x" + "f" * 5000,
    ".".join(["x"] * 5000) + " = 1",
    "[" + ".".join(["x"] * 5000) + "]",
    "account = " + "[" * 5000 + "]" * 5000,
    "x = 1e9999",
    'x = "\\uD800"',
    "\0",
]


# Guards against an operator's text that raises while the committed command is applied,
# which ends every control process, again with each start.
@pytest.mark.parametrize("text", ODD_TEXTS)
def test_odd_texts_are_refused(text):
    for texts in ((text, ""), ("", text)):
        with pytest.raises(SettingsError):
            check_lists(*texts)
        store = ListStore()
        change = ApplyLists(ChangeId("c"), Revision(0), *texts, "operator")
        assert isinstance(store.apply(change), ListsRefused)
        assert store.revision == 0


# Guards against processes of different stacks that disagree on a committed command.
@pytest.mark.parametrize("frames", [0, 300, 700])
@pytest.mark.parametrize("depth", [100, 400, 900])
def test_nested_text_is_refused_from_any_stack(frames, depth):
    def check_below(frames):
        if frames:
            return check_below(frames - 1)
        return check_lists("x = " + "[" * depth + "]" * depth, "")

    with pytest.raises(SettingsError):
        check_below(frames)
