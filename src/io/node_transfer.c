/* State transfer between processes, one request per TCP connection. */
#include "node_internal.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>
#include "net.h"

#define TRANSFER_TIMEOUT_MS 2000 /* for one TCP request */
/* Interval of fetching the full member list from a random peer. */
#define FULL_SYNC_INTERVAL_MS 600000
#define PULL_POLL_MS 200 /* longest wait for a request to pull */
#define SEAL_OVERHEAD 128 /* bytes for the sender's fields and the tag */

/* -- state transfer: client ---------------------------------------------- */

static uint8_t *seal_heap(struct nod *nod, struct nod_lane *lane,
			  Jj__Envelope *env, size_t *len)
{
	size_t capacity = jj__envelope__get_packed_size(env) + SEAL_OVERHEAD;
	uint8_t *buf = malloc(capacity);

	(void)nod;
	if (buf)
		*len = frm_seal(&lane->out, env, buf, capacity);
	return buf;
}

Jj__Envelope *nod_request(struct nod *nod, struct nod_lane *lane, uint32_t ip,
			  uint16_t port, Jj__Envelope *request,
			  uint32_t timeout_ms)
{
	Jj__Envelope *reply = NULL;
	size_t len = 0;
	uint8_t *out;
	uint8_t *in;
	int fd = net_connect(ip, port, timeout_ms);

	if (fd < 0)
		return NULL;
	out = seal_heap(nod, lane, request, &len);
	if (out && len && !net_send_frame(fd, out, len)) {
		in = net_recv_frame(fd, &len, FRM_MAX_FRAME, timeout_ms);
		if (in)
			frm_open(&nod->key, NULL, NULL, in, len, &reply);
		free(in);
	}
	free(out);
	close(fd);
	return reply;
}

/* Requests and merges the rows newer than since; JJ_UNAVAILABLE: no reply. */
static enum jj_status pull_since(struct nod *nod, struct nod_lane *lane,
				 uint32_t ip, uint16_t port, uint64_t since,
				 int members)
{
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__Pull pull = JJ__PULL__INIT;
	enum jj_status status = JJ_UNAVAILABLE;
	uint64_t began_ms = net_now_ms();
	Jj__Envelope *reply;
	struct jj_error err;

	pull.since = since;
	pull.rows = 1;
	pull.members = members;
	env.body_case = JJ__ENVELOPE__BODY_PULL;
	env.pull = &pull;
	met_add(&nod->met, MET_PULLS, 1);
	reply = nod_request(nod, lane, ip, port, &env, TRANSFER_TIMEOUT_MS);
	if (!reply) {
		log_put(&nod->desc.log->sink, EV_TRANSFER_FAILED,
			"from=%s since=%s after_ms=%llu",
			net_format_address(ip, port),
			tbl_format_revision(since).text,
			(unsigned long long)(net_now_ms() - began_ms));
		return status;
	}
	if (reply->body_case == JJ__ENVELOPE__BODY_STATE) {
		status = JJ_OK;
		pthread_mutex_lock(&nod->lock);
		mbr_merge(&nod->mbr, net_now_ms(), reply->state->members,
			  reply->state->n_members);
		if (reply->state->table)
			status = nod_merge_table_locked(
				nod, reply->state->table, &err);
		pthread_mutex_unlock(&nod->lock);
	}
	if (status != JJ_OK && status != JJ_STALE)
		log_put(&nod->desc.log->sink,
			status == JJ_INCOMPLETE ? EV_TABLE_INCOMPLETE :
			status == JJ_FULL	? EV_TABLE_FULL :
						  EV_TABLE_INVALID,
			"from=%s since=%s reason=%s",
			net_format_address(ip, port),
			tbl_format_revision(since).text, err.message);
	jj__envelope__free_unpacked(reply, NULL);
	return status;
}

/* Returns 0 if the process did not reply. */
static int pull_from(struct nod *nod, struct nod_lane *lane, uint32_t ip,
		     uint16_t port, int members)
{
	enum jj_status status =
		pull_since(nod, lane, ip, port, nod->revision, members);

	if (status == JJ_INCOMPLETE)
		status = pull_since(nod, lane, ip, port, 0, 0);
	return status != JJ_UNAVAILABLE;
}

/* Fetches table and member list from the first seed that answers. */
static void join_through_seeds(struct nod *nod, struct nod_lane *lane)
{
	const struct mbr_desc *desc = &nod->mbr.desc;
	uint32_t i;

	for (i = 0; i < desc->seed_count && !nod->stopping; i++) {
		const struct mbr_seed *seed = &desc->seeds[i];

		if (seed->ip == nod->ip && seed->port == nod->desc.control_port)
			continue;
		if (pull_from(nod, lane, seed->ip, seed->port, 1)) {
			nod->joined = 1;
			return;
		}
	}
}

static int random_peer(struct nod *nod, uint32_t *ip, uint16_t *port)
{
	uint32_t start;
	uint32_t i;
	int found = 0;

	pthread_mutex_lock(&nod->lock);
	start = randombytes_uniform(nod->mbr.count);
	for (i = 0; i < nod->mbr.count && !found; i++) {
		const struct mbr_member *member =
			&nod->mbr.members[(start + i) % nod->mbr.count];

		if (mbr_live(member) && member->id != nod->id) {
			*ip = member->ip;
			*port = member->control_port;
			found = 1;
		}
	}
	pthread_mutex_unlock(&nod->lock);
	return found;
}

void *nod_run_pull(void *arg)
{
	struct nod *nod = arg;
	struct nod_lane *lane = calloc(1, sizeof(*lane));
	uint64_t next_sync = net_now_ms() + FULL_SYNC_INTERVAL_MS;

	if (!lane)
		abort();
	nod_lane_init(nod, lane, NOD_LANE_PULL);
	join_through_seeds(nod, lane);
	while (nod->stopping < 2) {
		struct nod_pull pull;
		struct timespec until;

		clock_gettime(CLOCK_REALTIME, &until);
		until.tv_nsec += PULL_POLL_MS * 1000000;
		if (until.tv_nsec >= 1000000000) {
			until.tv_sec++;
			until.tv_nsec -= 1000000000;
		}
		pthread_mutex_lock(&nod->pull_lock);
		if (!nod->pull.pending)
			pthread_cond_timedwait(&nod->pull_wake, &nod->pull_lock,
					       &until);
		pull = nod->pull;
		nod->pull.pending = 0;
		nod->pull.with_members = 0;
		pthread_mutex_unlock(&nod->pull_lock);
		if (net_now_ms() >= next_sync) {
			next_sync = net_now_ms() + FULL_SYNC_INTERVAL_MS;
			pull.with_members = 1;
			pull.pending = random_peer(nod, &pull.ip, &pull.port);
		}
		if (pull.pending)
			pull_from(nod, lane, pull.ip, pull.port,
				  pull.with_members);
	}
	free(lane);
	return NULL;
}

/* -- state transfer: server ---------------------------------------------- */

struct state_parts {
	Jj__State state;
	Jj__Table *table;
	Jj__Member *members;
	Jj__Member **member_list;
};

/* Copies the requested state, so that the lock is not held while sending. */
static void fill_state(struct nod *nod, const Jj__Pull *pull,
		       struct state_parts *parts)
{
	uint8_t *packed = NULL;
	size_t len = 0;
	uint32_t i;

	memset(parts, 0, sizeof(*parts));
	jj__state__init(&parts->state);
	pthread_mutex_lock(&nod->lock);
	if (pull->rows)
		packed = tbl_pack(&nod->tbl, pull->since, &len);
	if (pull->members) {
		parts->members = calloc(nod->mbr.count, sizeof(Jj__Member));
		parts->member_list =
			calloc(nod->mbr.count, sizeof(Jj__Member *));
	}
	for (i = 0; parts->members && parts->member_list && i < nod->mbr.count;
	     i++) {
		Jj__Member *msg = &parts->members[parts->state.n_members];

		if (!mbr_live(&nod->mbr.members[i]))
			continue;
		mbr_to_msg(&nod->mbr.members[i], msg);
		msg->name = strdup(msg->name);
		msg->data_centre = strdup(msg->data_centre);
		msg->service = strdup(msg->service);
		msg->target = strdup(msg->target);
		parts->member_list[parts->state.n_members++] = msg;
	}
	pthread_mutex_unlock(&nod->lock);
	if (packed)
		parts->table = jj__table__unpack(NULL, len, packed);
	free(packed);
	parts->state.table = parts->table;
	parts->state.members = parts->member_list;
}

static void free_state(struct state_parts *parts)
{
	size_t i;

	for (i = 0; i < parts->state.n_members; i++) {
		free(parts->members[i].name);
		free(parts->members[i].data_centre);
		free(parts->members[i].service);
		free(parts->members[i].target);
	}
	free(parts->members);
	free(parts->member_list);
	if (parts->table)
		jj__table__free_unpacked(parts->table, NULL);
}

static void send_reply(struct nod *nod, struct nod_lane *lane, int fd,
		       Jj__Envelope *reply)
{
	size_t len = 0;
	uint8_t *out = seal_heap(nod, lane, reply, &len);

	if (out && len)
		net_send_frame(fd, out, len);
	free(out);
}

static void reply_state(struct nod *nod, struct nod_lane *lane, int fd,
			const Jj__Pull *pull)
{
	Jj__Envelope reply = JJ__ENVELOPE__INIT;
	struct state_parts parts;

	fill_state(nod, pull, &parts);
	reply.body_case = JJ__ENVELOPE__BODY_STATE;
	reply.state = &parts.state;
	send_reply(nod, lane, fd, &reply);
	free_state(&parts);
}

static void reply_dump(struct nod *nod, struct nod_lane *lane, int fd)
{
	Jj__Envelope reply = JJ__ENVELOPE__INIT;
	Jj__DumpReply dump = JJ__DUMP_REPLY__INIT;
	char *text = nod_dump_text(nod);

	dump.text = text ? text : "";
	reply.body_case = JJ__ENVELOPE__BODY_DUMP_REPLY;
	reply.dump_reply = &dump;
	send_reply(nod, lane, fd, &reply);
	free(text);
}

static void reply_by_hook(struct nod *nod, struct nod_lane *lane, int fd,
			  const Jj__Envelope *env)
{
	const struct nod_hooks *hooks = &nod->desc.hooks;
	Jj__Envelope *reply = jj__envelope__unpack(NULL, 0, NULL);

	if (!reply)
		return;
	if (hooks->request && hooks->request(hooks->request_ctx, env, reply))
		send_reply(nod, lane, fd, reply);
	jj__envelope__free_unpacked(reply, NULL);
}

static void dispatch_request(struct nod *nod, struct nod_lane *lane, int fd,
			     const Jj__Envelope *env)
{
	switch (env->body_case) {
	case JJ__ENVELOPE__BODY_PULL:
		reply_state(nod, lane, fd, env->pull);
		return;
	case JJ__ENVELOPE__BODY_DUMP_REQUEST:
		reply_dump(nod, lane, fd);
		return;
	default:
		reply_by_hook(nod, lane, fd, env);
		return;
	}
}

static void serve_connection(struct nod *nod, struct nod_lane *lane, int fd,
			     const struct sockaddr_in *from)
{
	Jj__Envelope *env = NULL;
	enum jj_status status;
	size_t len = 0;
	uint8_t *in;

	net_set_timeout(fd, TRANSFER_TIMEOUT_MS);
	in = net_recv_frame(fd, &len, FRM_MAX_FRAME, TRANSFER_TIMEOUT_MS);
	if (!in)
		return;
	status = frm_open(&nod->key, &nod->replay, NULL, in, len, &env);
	if (status == JJ_OK) {
		dispatch_request(nod, lane, fd, env);
		jj__envelope__free_unpacked(env, NULL);
	} else {
		nod_count_rejected(nod, status, ntohl(from->sin_addr.s_addr),
				   ntohs(from->sin_port));
	}
	free(in);
}

void *nod_run_transfer(void *arg)
{
	struct nod *nod = arg;
	struct nod_lane *lane = calloc(1, sizeof(*lane));

	if (!lane)
		abort();
	rcu_register_thread();
	nod_lane_init(nod, lane, NOD_LANE_TRANSFER + nod->next_transfer_lane++);
	while (nod->stopping < 2) {
		struct sockaddr_in from = { 0 };
		socklen_t from_len = sizeof(from);
		int fd;

		fd = accept4(nod->listen_fd, (struct sockaddr *)&from,
			     &from_len, SOCK_CLOEXEC);
		if (fd < 0)
			continue;
		serve_connection(nod, lane, fd, &from);
		close(fd);
	}
	rcu_unregister_thread();
	free(lane);
	return NULL;
}
