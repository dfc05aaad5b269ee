"""Steps for the mutations of tools.mutations and tools.soak_mutations."""

from __future__ import annotations

import pathlib
from typing import Any

from behave import then

from tools.mutations import MUTATIONS
from tools.soak_mutations import OWNER_MUTATIONS

PACKAGE = pathlib.Path('bergamotdoor')


@then("every safeguard's code is found once")
def check_code_occurs_once(_: Any) -> None:
    for mutation in (*MUTATIONS, *OWNER_MUTATIONS):
        code = (PACKAGE / mutation.path).read_text()
        assert code.count(mutation.text) == 1, mutation
