"""Defines the result of a request: a target's answer or a refusal."""

import msgspec
from returns import result

from tamarackgap import types


class Answer(msgspec.Struct, frozen=True):
    """A target's answer to a request.

    Attributes:
        status: HTTP status.
        content_type: Media type of the body.
        body: Whole body.
    """

    status: int
    content_type: str
    body: bytes


class Refusal(msgspec.Struct, frozen=True):
    """The result of a request that got no answer.

    Attributes:
        verdict: Whether the request may have been executed.
        reason: Reason of the refusal.
    """

    verdict: types.Verdict
    reason: types.Reason

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have been executed."""
        return self.verdict is not types.Verdict.NOT_RUN


Result = result.Result[Answer, Refusal]


def not_run(reason: types.Reason) -> Result:
    """Returns the refusal of a request that was certainly not executed."""
    return result.Failure(Refusal(types.Verdict.NOT_RUN, reason))


def may_have_run(reason: types.Reason) -> Result:
    """Returns the refusal of a request that may have been executed."""
    return result.Failure(Refusal(types.Verdict.MAY_HAVE_RUN, reason))


def answered(status: int, content_type: str, body: bytes) -> Result:
    """Returns the result of a request that a target answered."""
    return result.Success(Answer(status, content_type, body))
