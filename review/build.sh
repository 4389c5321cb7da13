#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -nowarn -d target/review review/standins/*.java
