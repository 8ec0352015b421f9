"""The result of a request: an answer, or a refusal that says if it ran."""

import msgspec
from returns import result

from tamarackgap import types


class Answer(msgspec.Struct, frozen=True):
    """A target's whole answer.

    Attributes:
        status: HTTP status.
        content_type: Media type of the body.
        body: The body.
    """

    status: int
    content_type: str
    body: bytes


class Refusal(msgspec.Struct, frozen=True):
    """A request without an answer.

    Attributes:
        verdict: Whether its operation may have run.
        reason: Why it was refused.
    """

    verdict: types.Verdict
    reason: types.Reason

    @property
    def may_have_run(self) -> bool:
        """Whether the operation may have run."""
        return self.verdict is not types.Verdict.NOT_RUN


Result = result.Result[Answer, Refusal]


def not_run(reason: types.Reason) -> Result:
    """Returns the refusal of a request that certainly did not run."""
    return result.Failure(Refusal(types.Verdict.NOT_RUN, reason))


def may_have_run(reason: types.Reason) -> Result:
    """Returns the refusal of a request that may have run."""
    return result.Failure(Refusal(types.Verdict.MAY_HAVE_RUN, reason))


def answered(status: int, content_type: str, body: bytes) -> Result:
    """Returns the result of a request that was answered."""
    return result.Success(Answer(status, content_type, body))
