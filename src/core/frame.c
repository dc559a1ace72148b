#include "jujube/frame.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include "jujube/rank.h"

/* -- keys and arena ------------------------------------------------------ */

enum jj_status frm_key_parse(struct frm_key *key, const char *hex,
			     struct jj_error *err)
{
	size_t len = 0;

	if (strlen(hex) != 2 * sizeof(key->bytes) ||
	    sodium_hex2bin(key->bytes, sizeof(key->bytes), hex, strlen(hex),
			   NULL, &len, NULL) ||
	    len != sizeof(key->bytes))
		return st_fail(err, JJ_INVALID,
			       "key must be 32 hexadecimal digits");
	return JJ_OK;
}

static void *arena_alloc(void *ctx, size_t size)
{
	struct frm_arena *arena = ctx;
	size_t need = (size + 15) & ~(size_t)15;
	void *at;

	if (need > sizeof(arena->bytes) - arena->used)
		return NULL;
	at = arena->bytes + arena->used;
	arena->used += need;
	return at;
}

static void arena_free(void *ctx, void *ptr)
{
	(void)ctx;
	(void)ptr;
}

void frm_arena_init(struct frm_arena *arena)
{
	arena->allocator = (ProtobufCAllocator){
		.alloc = arena_alloc,
		.free = arena_free,
		.allocator_data = arena,
	};
	arena->used = 0;
}

/* -- replay windows ------------------------------------------------------ */

int frm_replay_init(struct frm_replay *replay, uint32_t lanes)
{
	uint32_t capacity = 16;
	int i;

	if (!lanes)
		lanes = FRM_LANES;
	while (capacity * FRM_SHARDS < lanes)
		capacity *= 2;
	/* One block: memory pages that no lane falls on stay unallocated. */
	replay->lanes =
		calloc((size_t)capacity * FRM_SHARDS, sizeof(*replay->lanes));
	if (!replay->lanes)
		return 0;
	for (i = 0; i < FRM_SHARDS; i++) {
		struct frm_shard *shard = &replay->shards[i];

		pthread_mutex_init(&shard->lock, NULL);
		shard->capacity = capacity;
		shard->used = 0;
		shard->lanes = replay->lanes + (size_t)i * capacity;
	}
	return 1;
}

void frm_replay_finish(struct frm_replay *replay)
{
	int i;

	free(replay->lanes);
	for (i = 0; i < FRM_SHARDS; i++)
		pthread_mutex_destroy(&replay->shards[i].lock);
}

static struct frm_lane *find_or_add_lane(struct frm_shard *shard, uint64_t id)
{
	uint32_t i = (uint32_t)(id >> 8) & (shard->capacity - 1);
	uint32_t probes;

	for (probes = 0; probes < shard->capacity; probes++) {
		struct frm_lane *lane = &shard->lanes[i];

		if (lane->id == id)
			return lane;
		if (!lane->id) {
			lane->id = id;
			shard->used++;
			return lane;
		}
		i = (i + 1) & (shard->capacity - 1);
	}
	return NULL;
}

/* Moves the window so that counter is its highest value. */
static void advance_window(struct frm_lane *lane, uint64_t counter)
{
	uint64_t step = counter - lane->highest;
	uint64_t i;

	if (step >= FRM_REPLAY_WINDOW) {
		memset(lane->seen, 0, sizeof(lane->seen));
	} else {
		for (i = 1; i <= step; i++) {
			uint64_t bit = (lane->highest + i) % FRM_REPLAY_WINDOW;

			lane->seen[bit / 64] &= ~(1ull << (bit % 64));
		}
	}
	lane->highest = counter;
}

static enum jj_status accept_counter(struct frm_lane *lane,
				     uint64_t incarnation, uint64_t counter)
{
	uint64_t bit = counter % FRM_REPLAY_WINDOW;

	if (incarnation < lane->incarnation)
		return JJ_REPLAYED;
	if (incarnation > lane->incarnation) {
		lane->incarnation = incarnation;
		lane->highest = 0;
		memset(lane->seen, 0, sizeof(lane->seen));
	}
	if (counter > lane->highest)
		advance_window(lane, counter);
	else if (lane->highest - counter >= FRM_REPLAY_WINDOW)
		return JJ_REPLAYED;
	if (lane->seen[bit / 64] & (1ull << (bit % 64)))
		return JJ_REPLAYED;
	lane->seen[bit / 64] |= 1ull << (bit % 64);
	return JJ_OK;
}

static enum jj_status check_replay(struct frm_replay *replay,
				   const Jj__Envelope *env)
{
	uint64_t parts[2] = { env->sender, env->lane };
	uint64_t id = rnk_hash(parts, sizeof(parts)) | 1;
	struct frm_shard *shard = &replay->shards[(id >> 1) % FRM_SHARDS];
	enum jj_status status = JJ_FULL;
	struct frm_lane *lane;

	pthread_mutex_lock(&shard->lock);
	lane = find_or_add_lane(shard, id);
	if (lane)
		status = accept_counter(lane, env->incarnation, env->counter);
	pthread_mutex_unlock(&shard->lock);
	return status;
}

/* -- seal and open ------------------------------------------------------- */

static void compute_tag(const struct frm_key *key, const uint8_t *buf,
			size_t len, uint8_t tag[FRM_TAG_BYTES])
{
	crypto_shorthash_siphashx24(tag, buf, len, key->bytes);
}

size_t frm_seal(struct frm_sender *out, Jj__Envelope *env, uint8_t *buf,
		size_t size)
{
	size_t len;

	env->sender = out->sender;
	env->incarnation = *out->incarnation;
	env->lane = out->lane;
	env->counter = ++out->counter;
	env->revision = out->revision ? atomic_load(out->revision) : 0;
	len = jj__envelope__get_packed_size(env);
	if (len + FRM_TAG_BYTES > size)
		return 0;
	jj__envelope__pack(env, buf);
	compute_tag(out->key, buf, len, buf + len);
	return len + FRM_TAG_BYTES;
}

enum jj_status frm_open(const struct frm_key *key, struct frm_replay *replay,
			struct frm_arena *arena, const uint8_t *buf, size_t len,
			Jj__Envelope **env)
{
	ProtobufCAllocator *allocator = NULL;
	uint8_t tag[FRM_TAG_BYTES];
	enum jj_status status;

	*env = NULL;
	if (len < FRM_TAG_BYTES)
		return JJ_MALFORMED;
	len -= FRM_TAG_BYTES;
	compute_tag(key, buf, len, tag);
	if (sodium_memcmp(tag, buf + len, sizeof(tag)))
		return JJ_UNAUTHENTICATED;
	if (arena) {
		arena->used = 0;
		allocator = &arena->allocator;
	}
	*env = jj__envelope__unpack(allocator, len, buf);
	if (!*env)
		return JJ_MALFORMED;
	if (!replay)
		return JJ_OK;
	status = check_replay(replay, *env);
	if (status != JJ_OK) {
		if (!arena)
			jj__envelope__free_unpacked(*env, NULL);
		*env = NULL;
	}
	return status;
}
