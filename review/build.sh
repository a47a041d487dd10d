#!/bin/sh
# The stand-ins of the scripts are Python programs that use the standard library alone: this only checks that they can be
# read. `lanegate` itself comes from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
for source in lib/*.py [1-9]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
done
