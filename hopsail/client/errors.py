"""What a call can end with beside its answer. Each says whether the request can have run."""


class RequestFailed(Exception):
    """The base of all; `tries` that were made, `may_have_run` whether one of them can have taken effect."""

    may_have_run = False

    def __init__(self, why: str, tries: int = 0):
        super().__init__(why)
        self.tries = tries


class NeverRan(RequestFailed):
    """No try of it can have run: to ask again is harmless."""


class RefusedUntil(NeverRan):
    """The balancers have turned it away, and say when to come again: `wait`, seconds from now."""

    def __init__(self, why: str, tries: int, wait: float):
        super().__init__(why, tries)
        self.wait = wait


class Deadline(NeverRan):
    """Its time was over before any try could have run."""


class Faulty(NeverRan):
    """The request itself is wrong: `status` is the balancer's answer, and no further try can help."""

    def __init__(self, why: str, tries: int, status: int):
        super().__init__(why, tries)
        self.status = status


class MayHaveRun(RequestFailed):
    """A try was sent and its end is not known, or it failed while it ran. What it was to do may be done."""

    may_have_run = True
