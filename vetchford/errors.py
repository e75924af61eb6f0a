"""The root of the exceptions that this project raises, and those that several packages share."""


class VetchfordError(Exception):
    """Any failure that this project names itself."""


class MalformedInputError(VetchfordError):
    """Input that does not have the form its page prescribes; the message names the field."""
