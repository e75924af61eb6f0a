"""The base class of this project's exceptions, and exceptions that several packages share."""


class VetchfordError(Exception):
    """Base class of all exceptions that this project raises itself."""


class MalformedInputError(VetchfordError):
    """Input does not have the specified form; the message names the field."""
