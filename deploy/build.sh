#!/usr/bin/env bash
# Builds the daemon: installs its libraries and its code into target/deps.
#
# Each version of the code has a folder of its own, named by a hash of the content. The
# link `current` is switched to a new version in one step, so a process that starts or
# loads modules during a build finds either all of the old code or all of the new.
set -euo pipefail
cd "$(dirname "$0")/.."
# Versions of the code that are kept: the current one, the one before, from which
# running processes may still load modules, and one more in case another build follows
# at once.
KEPT_VERSIONS=3
package=target/deps/sesamespindle
draft=target/draft

# Only one build of a checkout runs at a time. The lock is released when this script
# exits.
mkdir -p target/deps
exec 9> target/.building
python3 -c 'import fcntl; fcntl.flock(9, fcntl.LOCK_EX)'

if [ ! target/deps/.installed -nt deploy/requirements.lock ]; then
    python3 -m pip install --quiet --no-warn-conflicts --root-user-action=ignore --upgrade --target target/deps \
        --require-hashes -r deploy/requirements.lock
    # Bundles also contain the code of the libraries.
    rm -rf "$package/bundles"
    touch target/deps/.installed
fi

rm -rf "$draft"
mkdir -p "$draft" "$package/versions"
for part in packages/decide packages/declare packages/wire packages/daemon platform; do
    cp -r "$part/sesamespindle/." "$draft/"
done
find "$draft" -name __pycache__ -prune -exec rm -rf {} +
# The version of Python is part of the hash, as compiled files work with that one only.
version=versions/$(cd "$draft" && { python3 -VV; find . -type f -print0 |
    LC_ALL=C sort -z | xargs -0 sha256sum; } | sha256sum | cut -c 1-16)
if [ ! -d "$package/$version" ]; then
    python3 -m compileall -q "$draft"
    mv -T "$draft" "$package/$version"
fi
rm -rf "$draft"

if [ "$(readlink "$package/current")" != "$version" ]; then
    touch "$package/$version"
    ln -sfn "$version" "$package/next"
    mv -T "$package/next" "$package/current"
    # The first time that a version is removed, code that an earlier form of this script
    # installed without versions is removed as well.
    for old in $(ls -t "$package/versions" | tail -n "+$((KEPT_VERSIONS + 1))"); do
        rm -rf "$package/versions/$old" "$package"/{decide,declare,wire,daemon,platform}
        rm -f "$package/bundles/$old"
    done
fi
if ! cmp -s deploy/package.py "$package/__init__.py"; then
    cp deploy/package.py "$package/next.py"
    mv -T "$package/next.py" "$package/__init__.py"
    python3 -m compileall -q -l --invalidation-mode checked-hash "$package"
fi

# The bundle has all code that a daemon loads in one file, so that it starts faster.
PYTHONPATH=target/deps python3 deploy/bundle.py
