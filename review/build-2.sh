#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cc -O2 -Wall -o target/review-2/world review/standin-2/world.c
# shellcheck disable=SC2046
cc -O2 -o target/review-2/store review/standin-2/store.c \
	$(pkg-config --cflags --libs libmicrohttpd libsodium jansson) -lpthread
