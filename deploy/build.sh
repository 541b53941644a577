#!/usr/bin/env bash
# Puts the libraries and the product's packages into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
stamp=target/requirements.txt
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check \
        --no-deps --target "$deps" -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
stage=$(mktemp -d target/stage.XXXXXX)
trap 'rm -rf "$stage"' EXIT
for package in core wire node; do
    name=balsamramp_$package
    cp -R packages/"$package"/src/"$name" "$stage"/
    find "$stage/$name" -name __pycache__ -prune -exec rm -rf {} +
    if diff -rq -x __pycache__ "$stage/$name" "$deps/$name" >/dev/null 2>&1
    then
        continue
    fi
    python3 -m compileall -q -s "$stage" -p "$deps" "$stage/$name"
    # Two renames, so that a process which starts meanwhile finds either.
    if [ -e "$deps/$name" ]; then
        mv "$deps/$name" "$stage/$name.old"
    fi
    mv "$stage/$name" "$deps/$name"
done
