#include "handover.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "jujube/rank.h"
#include "net.h"

#define REQUEST_TIMEOUT_MS 1500
#define JOIN_POLL_MS 50

/* -- storing, in balancers ----------------------------------------------- */

void hnd_init(struct hnd *hnd)
{
	memset(hnd, 0, sizeof(*hnd));
	pthread_mutex_init(&hnd->lock, NULL);
}

static void clear_slot(struct hnd *hnd, struct hnd_slot *slot)
{
	hnd->bytes -= slot->len;
	free(slot->packed);
	*slot = (struct hnd_slot){ 0 };
}

void hnd_finish(struct hnd *hnd)
{
	int i;

	for (i = 0; i < HND_SLOTS; i++)
		clear_slot(hnd, &hnd->slots[i]);
	pthread_mutex_destroy(&hnd->lock);
}

static void drop_expired(struct hnd *hnd, uint64_t now)
{
	int i;

	for (i = 0; i < HND_SLOTS; i++)
		if (hnd->slots[i].agent &&
		    now > hnd->slots[i].stored_ms + HND_TTL_MS)
			clear_slot(hnd, &hnd->slots[i]);
}

static struct hnd_slot *find_slot(struct hnd *hnd, uint64_t agent)
{
	int i;

	for (i = 0; i < HND_SLOTS; i++)
		if (hnd->slots[i].agent == agent)
			return &hnd->slots[i];
	return NULL;
}

static int store_copy(struct hnd *hnd, const Jj__Handover *handover)
{
	size_t len = jj__handover__get_packed_size(handover);
	uint64_t now = net_now_ms();
	struct hnd_slot *slot;
	int stored = 0;

	pthread_mutex_lock(&hnd->lock);
	drop_expired(hnd, now);
	slot = find_slot(hnd, handover->agent);
	if (slot)
		clear_slot(hnd, slot);
	else
		slot = find_slot(hnd, 0);
	if (slot && handover->agent && hnd->bytes + len <= HND_BYTES_MAX) {
		slot->packed = malloc(len + 1);
		if (slot->packed) {
			jj__handover__pack(handover, slot->packed);
			slot->agent = handover->agent;
			slot->stored_ms = now;
			slot->len = len;
			hnd->bytes += len;
			stored = 1;
		}
	}
	pthread_mutex_unlock(&hnd->lock);
	return stored;
}

/* Removes and returns the copy stored for an agent; null: there is none. */
static Jj__Handover *take_copy(struct hnd *hnd, uint64_t agent)
{
	Jj__Handover *handover = NULL;
	struct hnd_slot *slot;

	if (!agent)
		return NULL;
	pthread_mutex_lock(&hnd->lock);
	drop_expired(hnd, net_now_ms());
	slot = find_slot(hnd, agent);
	if (slot) {
		handover = jj__handover__unpack(NULL, slot->len, slot->packed);
		clear_slot(hnd, slot);
	}
	pthread_mutex_unlock(&hnd->lock);
	return handover;
}

int hnd_on_request(void *ctx, const Jj__Envelope *env, Jj__Envelope *reply)
{
	struct hnd *hnd = ctx;

	if (env->body_case == JJ__ENVELOPE__BODY_HANDOVER) {
		reply->done = malloc(sizeof(*reply->done));
		if (!reply->done)
			return 0;
		jj__done__init(reply->done);
		reply->done->ok = store_copy(hnd, env->handover);
		reply->body_case = JJ__ENVELOPE__BODY_DONE;
		return 1;
	}
	if (env->body_case == JJ__ENVELOPE__BODY_HANDOVER_REQUEST &&
	    env->handover_request->agent == env->sender) {
		reply->handover = take_copy(hnd, env->sender);
		if (!reply->handover)
			reply->handover = jj__handover__unpack(NULL, 0, NULL);
		reply->body_case = JJ__ENVELOPE__BODY_HANDOVER;
		return reply->handover != NULL;
	}
	return 0;
}

/* -- transfer, by agents ------------------------------------------------- */

struct ranked_balancer {
	uint64_t score; /* the lowest ranks first */
	uint32_t ip;
	uint16_t port;
};

static int by_score(const void *a, const void *b)
{
	const struct ranked_balancer *x = a;
	const struct ranked_balancer *y = b;

	return (x->score > y->score) - (x->score < y->score);
}

#define BALANCERS_MAX 4096 /* balancers that are ranked */

/* Live balancers, ranked by a hash over the ids of agent and balancer. */
static int rank_balancers(struct nod *nod, struct ranked_balancer *balancers)
{
	int count = 0;
	uint32_t i;

	pthread_mutex_lock(&nod->lock);
	for (i = 1; i < nod->mbr.count && count < BALANCERS_MAX; i++) {
		const struct mbr_member *member = &nod->mbr.members[i];
		uint64_t ids[2] = { nod->id, member->id };

		if (!mbr_live(member) ||
		    member->role != JJ__ROLE__ROLE_BALANCER)
			continue;
		balancers[count++] = (struct ranked_balancer){
			.score = rnk_hash(ids, sizeof(ids)),
			.ip = member->ip,
			.port = member->control_port
		};
	}
	pthread_mutex_unlock(&nod->lock);
	qsort(balancers, (size_t)count, sizeof(*balancers), by_score);
	return count;
}

static int send_copy(struct nod *nod, struct nod_lane *lane,
		     const struct ranked_balancer *balancer,
		     Jj__Handover *handover)
{
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__Envelope *reply;
	int ok;

	env.body_case = JJ__ENVELOPE__BODY_HANDOVER;
	env.handover = handover;
	reply = nod_request(nod, lane, balancer->ip, balancer->port, &env,
			    REQUEST_TIMEOUT_MS);
	ok = reply && reply->body_case == JJ__ENVELOPE__BODY_DONE &&
	     reply->done->ok;
	if (reply)
		jj__envelope__free_unpacked(reply, NULL);
	return ok;
}

int hnd_store(struct nod *nod, const uint8_t *packed, size_t len)
{
	struct ranked_balancer *balancers =
		calloc(BALANCERS_MAX, sizeof(*balancers));
	struct nod_lane *lane = &nod->handover_lane;
	Jj__Handover *handover = jj__handover__unpack(NULL, len, packed);
	int stored_count = 0;

	if (balancers && handover) {
		int count = rank_balancers(nod, balancers);
		int i;

		for (i = 0; i < count && stored_count < HND_COPIES; i++)
			stored_count +=
				send_copy(nod, lane, &balancers[i], handover);
	}
	if (handover)
		jj__handover__free_unpacked(handover, NULL);
	free(balancers);
	return stored_count;
}

static Jj__Envelope *fetch_copy(struct nod *nod, struct nod_lane *lane,
				const struct ranked_balancer *balancer)
{
	Jj__HandoverRequest request = JJ__HANDOVER_REQUEST__INIT;
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__Envelope *reply;

	request.agent = nod->id;
	env.body_case = JJ__ENVELOPE__BODY_HANDOVER_REQUEST;
	env.handover_request = &request;
	reply = nod_request(nod, lane, balancer->ip, balancer->port, &env,
			    REQUEST_TIMEOUT_MS);
	if (reply && reply->body_case == JJ__ENVELOPE__BODY_HANDOVER &&
	    reply->handover->agent == nod->id)
		return reply;
	if (reply)
		jj__envelope__free_unpacked(reply, NULL);
	return NULL;
}

/*
 * Waits until the member list is complete: before that, the known balancers
 * need not be the ones that rank first. All balancers that may have a copy are
 * asked, so that no outdated copy is left for a later start.
 */
Jj__Envelope *hnd_fetch(struct nod *nod, uint32_t wait_ms)
{
	struct ranked_balancer *balancers =
		calloc(BALANCERS_MAX, sizeof(*balancers));
	struct nod_lane *lane = &nod->handover_lane;
	uint64_t until = net_now_ms() + wait_ms;
	Jj__Envelope *found = NULL;
	int count;
	int i;

	if (!balancers)
		return NULL;
	while (!nod->joined && net_now_ms() < until)
		usleep(JOIN_POLL_MS * 1000);
	count = rank_balancers(nod, balancers);
	for (i = 0; i < count && i < HND_FETCH_MAX; i++) {
		Jj__Envelope *reply = fetch_copy(nod, lane, &balancers[i]);

		if (!reply)
			continue;
		if (found)
			jj__envelope__free_unpacked(reply, NULL);
		else
			found = reply;
	}
	free(balancers);
	return found;
}
