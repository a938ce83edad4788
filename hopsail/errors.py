"""The base of the package's exceptions."""


class HopsailError(Exception):
    """Base of all exceptions that hopsail raises on purpose.

    A package derives its own errors from it; an error that callers also catch by a standard type, such as
    ValueError, has both as bases, this one first. The message says what went wrong, with the value and the
    limit where there is one.
    """
