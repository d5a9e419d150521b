#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They use the Java platform alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/standin-2/*.java
