/*
 * keep - agents' state, kept by a balancer over a planned restart
 *
 * An agent that stops leaves its flows and ledger with the HND_COPIES
 * balancers that rank first for it, and asks HND_FETCH_MAX of them when it starts
 * again: some may have come or gone meanwhile. A copy is given out once and forgotten after HND_TTL_MS: whoever comes
 * later starts without it, and answers "outcome unknown" where it must.
 */
#ifndef JUJUBE_HANDOVER_H
#define JUJUBE_HANDOVER_H

#include <pthread.h>
#include "node.h"

#define HND_COPIES 2
#define HND_FETCH_MAX 8 /* balancers that a starting agent asks for a copy */
#define HND_SLOTS 256
#define HND_BYTES_MAX (24u << 20) /* of all copies held by one balancer */
#define HND_TTL_MS 60000

struct hnd_slot {
	uint64_t agent; /* 0: free */
	uint64_t stored_ms;
	uint8_t *packed;
	size_t len;
};

struct hnd {
	pthread_mutex_t lock;
	struct hnd_slot slots[HND_SLOTS];
	size_t bytes;
};

void hnd_init(struct hnd *hnd);
void hnd_finish(struct hnd *hnd);

/* nod_hooks.request of a balancer; ctx is the struct hnd. The node frees
 * what the reply points to. */
int hnd_on_request(void *ctx, const Jj__Envelope *env, Jj__Envelope *reply);

/* -- the agent's side -- */

/* Leaves a packed Jj__Handover with balancers; returns how many took it. */
int hnd_store(struct nod *nod, const uint8_t *packed, size_t len);

/* Null when no balancer has anything for this process. Free it. */
Jj__Envelope *hnd_fetch(struct nod *nod, uint32_t wait_ms);

#endif
