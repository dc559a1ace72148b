#!/bin/sh
# Builds every stand-in that the scripts of this review start, into
# target/review-3: the project's own store, and those in standin-3.
set -e
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p $out
cc -std=gnu11 -O2 -w -o $out/standin-metastore tests/standin/metastore.c \
	-ljansson -lmicrohttpd -lsodium -lpthread
cc -std=gnu11 -O2 -Wall -Wextra -D_GNU_SOURCE -o $out/standin-peers \
	review/standin-3/peers.c
cc -std=gnu11 -O2 -Wall -Wextra -o $out/standin-relay review/standin-3/relay.c
