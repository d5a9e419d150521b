#!/bin/sh
# Compiles the stand-ins of the cases against the JDK alone. To be run after the build of deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -Werror -d target/review review/standin/*.java
