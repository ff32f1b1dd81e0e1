"""Log lines by loguru: a fixed prefix for each part, text or JSON."""

import sys

import loguru

_TEXT = "{time:HH:mm:ss.SSS} {level:<7} {extra[part]:<9} {extra[request]:<24} {message}"


def set_up(log_settings, daemon):
    """Send log lines to standard error in the form that the settings ask for."""
    loguru.logger.remove()
    loguru.logger.configure(extra={"part": "daemon", "request": "-", "host": daemon})
    loguru.logger.add(
        sys.stderr,
        level=log_settings.level,
        format=_TEXT,
        serialize=log_settings.format == "json",
        backtrace=False,
        diagnose=False,
    )


def part(name):
    """Return the logger of one part of the daemon."""
    return loguru.logger.bind(part=name)
