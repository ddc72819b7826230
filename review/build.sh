#!/usr/bin/env bash
# The stand-ins are plain modules that need no build; this checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
find . -name '*.mjs' -not -path '*/node_modules/*' -exec node --check {} \;
