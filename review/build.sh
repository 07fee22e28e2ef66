#!/bin/sh
# The stand-ins are plain scripts and need no build; this checks that each of them can be parsed.
cd "$(dirname "$0")" || exit 1
for file in standins.mjs [0-9]/*.mjs; do node --check "$file" || exit 1; done
