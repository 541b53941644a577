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
rm -rf "$deps"/balsamramp_*
for package in core wire node; do
    cp -R packages/"$package"/src/balsamramp_"$package" "$deps"/
done
python3 -m compileall -q "$deps"/balsamramp_*
