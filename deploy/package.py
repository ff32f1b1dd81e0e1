"""The daemon's package, with the version of the code that is current at import.

The link `current` is read once, so a process loads all its modules from one version,
even if another version is built meanwhile.
"""

import os

_FOLDER = os.path.dirname(__file__)

__path__ = [os.path.join(_FOLDER, os.readlink(os.path.join(_FOLDER, "current")))]
