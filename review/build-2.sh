#!/bin/sh
# Builds every stand-in that the cases 4 to 8 start, with the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf ../target/review-2
mkdir -p ../target/review-2
javac -d ../target/review-2 standins-2/*.java
