/*
 * handover - balancers store agents' state over a planned restart
 *
 * An agent that stops sends its flows and ledger to the HND_COPIES balancers
 * that rank first for it. When it starts again it asks the first HND_FETCH_MAX
 * of them, since balancers may have joined or left meanwhile. A balancer hands
 * out each copy once and drops it after HND_TTL_MS. An agent that starts later
 * than that has no state and answers "outcome unknown" to repeated requests
 * whose outcome was recorded in the lost ledger only.
 */
#ifndef JUJUBE_HANDOVER_H
#define JUJUBE_HANDOVER_H

#include <pthread.h>
#include "node.h"

#define HND_COPIES 2 /* balancers that store an agent's state */
#define HND_FETCH_MAX 8 /* balancers that a starting agent asks for a copy */
#define HND_SLOTS 256 /* agents whose state one balancer stores */
#define HND_BYTES_MAX (24u << 20) /* of all copies in one balancer */
#define HND_TTL_MS 60000 /* lifetime of a copy */

struct hnd_slot {
	uint64_t agent; /* 0: free */
	uint64_t stored_ms;
	uint8_t *packed; /* Jj__Handover, on the heap */
	size_t len;
};

struct hnd {
	pthread_mutex_t lock;
	struct hnd_slot slots[HND_SLOTS];
	size_t bytes; /* of all slots */
};

void hnd_init(struct hnd *hnd);
void hnd_finish(struct hnd *hnd);

/*
 * nod_hooks.request of a balancer; ctx is the struct hnd. The node frees what
 * the reply points to.
 */
int hnd_on_request(void *ctx, const Jj__Envelope *env, Jj__Envelope *reply);

/* -- called by agents -- */

/* Sends a packed Jj__Handover to balancers; returns how many stored it. */
int hnd_store(struct nod *nod, const uint8_t *packed, size_t len);

/*
 * Waits at most wait_ms until the members are known, then asks balancers for
 * the state of this process. The caller frees the reply; null: no balancer has
 * a copy.
 */
Jj__Envelope *hnd_fetch(struct nod *nod, uint32_t wait_ms);

#endif
