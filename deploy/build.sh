#!/usr/bin/env bash
# Puts the libraries and the code that the daemon runs into target/deps. Code that
# changed is swapped in whole, as a folder named by its content; a process that
# starts or loads meanwhile finds all of the old code or all of the new.
set -euo pipefail
cd "$(dirname "$0")/.."
# The version in force, the one before, which processes that run may still load
# from, and one more for a build that follows at once.
KEPT_VERSIONS=3
package=target/deps/sesamespindle
draft=target/draft

# Builds of one checkout go one after the other; the lock ends with the script.
mkdir -p target/deps
exec 9> target/.building
python3 -c 'import fcntl; fcntl.flock(9, fcntl.LOCK_EX)'

if [ ! target/deps/.installed -nt deploy/requirements.lock ]; then
    python3 -m pip install --quiet --no-warn-conflicts --root-user-action=ignore --upgrade --target target/deps \
        --require-hashes -r deploy/requirements.lock
    # Bundles bear the libraries' code too.
    rm -rf "$package/bundles"
    touch target/deps/.installed
fi

rm -rf "$draft"
mkdir -p "$draft" "$package/versions"
for part in packages/decide packages/declare packages/wire packages/daemon platform; do
    cp -r "$part/sesamespindle/." "$draft/"
done
find "$draft" -name __pycache__ -prune -exec rm -rf {} +
# Compiled files are good for one version of Python only.
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
    # With the first version that is removed goes code that lies there plainly.
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

# All code that a daemon loads in one file, which a start reads at once.
PYTHONPATH=target/deps python3 deploy/bundle.py
