/*
 * frame - authenticated messages between processes
 *
 * A frame is a packed Jj__Envelope followed by a 16-byte keyed tag (SipHash-2-4
 * with 128-bit output, from libsodium). The envelope carries its sender, the
 * sender's incarnation, the sending lane (one per thread) and a counter that
 * increases within the lane. frm_open() rejects a counter that it has already
 * accepted, using a sliding window per lane. A lane of an older incarnation is
 * rejected once a newer one was received.
 *
 * struct frm_key is immutable and shared. struct frm_sender belongs to one
 * sending thread. struct frm_replay is shared and has a lock per shard.
 */
#ifndef JUJUBE_FRAME_H
#define JUJUBE_FRAME_H

#include <pthread.h>
#include "jujube/atomic.h"
#include "jujube/status.h"
#include "jujube.pb-c.h"

#define FRM_TAG_BYTES 16
#define FRM_MAX_DATAGRAM 2048 /* in bytes, including the tag */
#define FRM_MAX_FRAME (8u << 20) /* in bytes, on TCP */
/* how far behind the highest one a counter of a lane may arrive */
#define FRM_REPLAY_WINDOW 1024
#define FRM_LANES 65536 /* default for the number of lanes tracked */
#define FRM_SHARDS 64
#define FRM_ARENA (64u << 10) /* bytes of memory for decoding */

struct frm_key {
	uint8_t bytes[16];
};

struct frm_sender {
	const struct frm_key *key;
	uint64_t sender;
	const JJ_ATOMIC(uint64_t) * incarnation; /* of the process */
	uint32_t lane;
	uint64_t counter;
	const JJ_ATOMIC(uint64_t) * revision;
};

struct frm_lane {
	uint64_t id;
	uint64_t incarnation;
	uint64_t highest; /* highest counter accepted */
	uint64_t seen[FRM_REPLAY_WINDOW / 64]; /* bit per counter */
};

struct frm_shard {
	pthread_mutex_t lock;
	struct frm_lane *lanes; /* hash table with open addressing by id */
	uint32_t capacity;
	uint32_t used;
};

struct frm_replay {
	struct frm_lane *lanes; /* of all shards */
	struct frm_shard shards[FRM_SHARDS];
};

/*
 * Memory for decoding, one per thread: a message lives until the next
 * frm_open().
 */
struct frm_arena {
	ProtobufCAllocator allocator;
	size_t used;
	uint8_t bytes[FRM_ARENA] __attribute__((aligned(16)));
};

/* Reads a key of 32 hexadecimal digits. */
enum jj_status frm_key_parse(struct frm_key *key, const char *hex,
			     struct jj_error *err);

/* lanes: number of lanes to track, 0: FRM_LANES. Returns 0 if out of memory. */
int frm_replay_init(struct frm_replay *replay, uint32_t lanes);
void frm_replay_finish(struct frm_replay *replay);

void frm_arena_init(struct frm_arena *arena);

/*
 * Fills in the sender's fields, packs and signs the envelope. Returns the
 * length in bytes, 0: no room.
 */
size_t frm_seal(struct frm_sender *out, Jj__Envelope *env, uint8_t *buf,
		size_t size);

/*
 * Verifies and decodes one frame. With an arena the message is stored there and
 * must not be freed; without, it is on the heap and must be freed by
 * jj__envelope__free_unpacked(). Without replay, the check for replays is
 * skipped (for replies on a connection that this process opened).
 */
enum jj_status frm_open(const struct frm_key *key, struct frm_replay *replay,
			struct frm_arena *arena, const uint8_t *buf, size_t len,
			Jj__Envelope **env);

#endif
