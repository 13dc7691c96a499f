#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into target/review. Needs only the JDK of the deploy file's packages.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -cp target/bramblespool.jar -d target/review $(find review/standins/src -name '*.java')
