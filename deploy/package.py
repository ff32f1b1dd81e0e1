"""The daemon's code in the version that is in force when a process starts.

A process asks once and stays with its version, whatever is built meanwhile.
"""

import os

_FOLDER = os.path.dirname(__file__)

__path__ = [os.path.join(_FOLDER, os.readlink(os.path.join(_FOLDER, "current")))]
