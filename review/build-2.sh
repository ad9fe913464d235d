#!/bin/sh
# Builds what the scripts of review/6 to review/10 start. The product and the project's
# own stand-in of the store lie in target/deps after the build of the deploy file. The
# other stand-ins (standins-2/) need nothing but Python; they are only checked here.
set -e
cd "$(dirname "$0")/.."
sh deploy/build
PYTHONPATH=target/deps python3 -S -c 'import kumquatseam.cli, kumquatseam.standins.logservice'
PYTHONDONTWRITEBYTECODE=1 python3 -S -c '
import ast, pathlib
for path in sorted(pathlib.Path("review").glob("[0-9]*/case.py")):
    ast.parse(path.read_text())
ast.parse(pathlib.Path("review/standins-2/world.py").read_text())
'
