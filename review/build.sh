#!/bin/sh
# Builds what the scripts start besides the hosts: the project's stand-ins and
# those of the review. All are Python and run on the libraries in target/deps,
# which the build of the deploy file makes; they are compiled and imported here.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    echo 'run the build of deploy/system.toml first' >&2
    exit 2
fi
PYTHONPATH="target/deps:." python3 - <<'PYTHON'
import compileall
import importlib

for folder in ('standins', 'review'):
    if not compileall.compile_dir(folder, quiet=1):
        raise SystemExit(f'{folder} does not compile')
for name in (
    'standins.log_store',
    'standins.platform_server',
    'review.common.faulty_server',
):
    importlib.import_module(name)
PYTHON
