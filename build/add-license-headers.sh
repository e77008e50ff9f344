#!/usr/bin/env bash
# Adds the licence header to every Java file that lacks it.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in $(find . -path '*/src/*/java/*' -name '*.java' -not -path '*/target/*')
do
    if ! head -2 "$file" | grep -q 'Licensed to the gaugehollow'
    then
        cat build/license-header.txt "$file" > "$file.new"
        mv "$file.new" "$file"
    fi
done
