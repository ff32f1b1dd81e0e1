"""Writes the bundle for the current version of the code, unless there is one.

A bundle is one file with the compiled code of all modules that a daemon loads, so that
daemons start faster. See `sesamespindle.platform.startbundle`.
"""

import importlib
import os
import sys

import sesamespindle


def main():
    """Write the bundle to a draft file, then move the file into place atomically."""
    startbundle = importlib.import_module("sesamespindle.platform.startbundle")
    path = startbundle.path_of(sesamespindle)
    if os.path.exists(path):
        return
    os.makedirs(os.path.dirname(path), exist_ok=True)
    startbundle.write(f"{path}.draft", "sesamespindle.platform.main", sesamespindle)
    os.replace(f"{path}.draft", path)


if __name__ == "__main__":
    try:
        main()
    except ImportError as error:
        # The daemon also starts without a bundle, only more slowly.
        print(f"No bundle is made: {error}", file=sys.stderr)
