#include "sidecar.h"

#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>
#include "handover.h"
#include "net.h"

#define POLL_TIMEOUT_MS 50
#define PACKET_BATCH 64 /* packets read from data_fd at a time */
#define FLOW_BATCH 16 /* datagrams read from one flow socket at a time */
#define MAX_QUEUE_AGE_MS 1500 /* packets queued for longer are dropped */
#define JOIN_TIMEOUT_MS 3000 /* longest wait for the member list */
#define DATA_SOCKET UINT64_MAX /* epoll tag; others are flow handles */

struct sid_worker {
	struct sid *sid;
	pthread_t thread;
	struct nod_lane lane;
	struct frm_arena arena;
	int epoll_fd;
	int data_fd;
	uint64_t last_round_ms;
	uint64_t pause_end_wall_ms; /* end of the last pause, 0: none yet */
};

/* -- flow sockets (called with a shard locked) --------------------------- */

static struct sid_flow *flow_of(struct sid *sid, uint32_t handle)
{
	return &sid->flows[agt_flow_slot(&sid->agt, handle)];
}

static int open_flow_socket(void *ctx, uint32_t handle, uint16_t local_port)
{
	struct sid *sid = ctx;
	struct sid_flow *flow = flow_of(sid, handle);
	struct sid_worker *worker = &sid->workers[handle % sid->desc.threads];
	struct sockaddr_in target =
		net_address(sid->desc.target_ip, sid->desc.target_port);
	struct epoll_event event = { .events = EPOLLIN, .data.u64 = handle };

	flow->fd = net_udp(sid->desc.ip, local_port, 0, NULL);
	if (flow->fd < 0)
		return -1;
	if (connect(flow->fd, (struct sockaddr *)&target, sizeof(target)) ||
	    epoll_ctl(worker->epoll_fd, EPOLL_CTL_ADD, flow->fd, &event)) {
		close(flow->fd);
		flow->fd = -1;
		return -1;
	}
	flow->handle = handle;
	return 0;
}

static uint16_t flow_local_port(void *ctx, uint32_t handle)
{
	struct sid_flow *flow = flow_of(ctx, handle);
	struct sockaddr_in addr = { 0 };
	socklen_t len = sizeof(addr);

	if (flow->fd < 0 ||
	    getsockname(flow->fd, (struct sockaddr *)&addr, &len))
		return 0;
	return ntohs(addr.sin_port);
}

static void close_flow_socket(void *ctx, uint32_t handle)
{
	struct sid_flow *flow = flow_of(ctx, handle);

	if (flow->fd >= 0)
		close(flow->fd);
	flow->fd = -1;
	flow->handle = AGT_NO_INDEX;
}

static int send_to_target(void *ctx, uint32_t handle, const uint8_t *data,
			  size_t len)
{
	struct sid_flow *flow = flow_of(ctx, handle);
	int refused = 0;

	/* The first call may only return the error of an earlier datagram. */
	if (send(flow->fd, data, len, MSG_DONTWAIT) == (ssize_t)len)
		return 0;
	refused = errno == ECONNREFUSED;
	if (send(flow->fd, data, len, MSG_DONTWAIT) == (ssize_t)len)
		return refused;
	return -1;
}

/* -- messages ------------------------------------------------------------ */

static void send_data(struct sid *sid, struct nod_lane *lane, uint32_t ip,
		      uint16_t port, Jj__Envelope *env)
{
	struct sockaddr_in addr = net_address(ip, port);
	size_t len = frm_seal(&lane->out, env, lane->buf, sizeof(lane->buf));

	if (len)
		sendto(sid->workers[0].data_fd, lane->buf, len, MSG_DONTWAIT,
		       (struct sockaddr *)&addr, sizeof(addr));
}

static void send_reply_to_balancer(void *ctx, void *thread, uint32_t ip,
				   uint16_t port, Jj__Reply *reply)
{
	Jj__Envelope env = JJ__ENVELOPE__INIT;

	env.body_case = JJ__ENVELOPE__BODY_REPLY;
	env.reply = reply;
	send_data(ctx, thread, ip, port, &env);
}

static void send_to_agent(void *ctx, void *thread,
			  const struct viw_agent *agent, Jj__Packet *packet)
{
	Jj__Envelope env = JJ__ENVELOPE__INIT;

	env.body_case = JJ__ENVELOPE__BODY_PACKET;
	env.packet = packet;
	send_data(ctx, thread, agent->ip, agent->data_port, &env);
}

static void send_control(void *ctx, void *thread, const struct viw_agent *agent,
			 Jj__Envelope *env)
{
	struct sid *sid = ctx;

	nod_send(sid->nod, thread, agent->ip, agent->control_port, env);
}

/* -- workers ------------------------------------------------------------- */

static struct agt_call make_call(struct sid *sid, struct nod_lane *lane,
				 const struct viw *view)
{
	struct agt_call call = { .agt = &sid->agt,
				 .thread = lane,
				 .view = view,
				 .now = net_now_us() };

	return call;
}

static void count_rejected(struct sid *sid, enum jj_status status)
{
	enum met_counter counter = MET_BAD_FRAME;

	if (status == JJ_UNAUTHENTICATED)
		counter = MET_BAD_AUTH;
	else if (status == JJ_REPLAYED)
		counter = MET_REPLAYED;
	met_add(&sid->nod->met, counter, 1);
	log_put(&sid->nod->desc.log->sink, EV_BAD_FRAME, "reason=%s",
		st_name(status));
}

/* Probes a sender with an older table; the probe carries the new revision. */
static void probe_outdated_sender(struct sid *sid, const Jj__Envelope *env)
{
	const struct mbr_member *member;

	if (env->revision >= sid->nod->revision)
		return;
	pthread_mutex_lock(&sid->nod->lock);
	member = mbr_find(&sid->nod->mbr, env->sender);
	if (member && member->revision < sid->nod->revision)
		mbr_ping(&sid->nod->mbr, net_now_ms(), member);
	pthread_mutex_unlock(&sid->nod->lock);
}

static ssize_t receive_data(struct sid_worker *w, uint8_t *buf, size_t size,
			    uint64_t wall_ms, uint64_t *age_ms)
{
	uint8_t control[NET_CONTROL_BYTES];
	struct iovec iov = { .iov_base = buf, .iov_len = size };
	struct msghdr msg = { .msg_iov = &iov,
			      .msg_iovlen = 1,
			      .msg_control = control,
			      .msg_controllen = sizeof(control) };
	ssize_t len = recvmsg(w->data_fd, &msg, MSG_DONTWAIT);

	if (len >= 0)
		*age_ms = net_queue_age_ms(&msg, wall_ms);
	return len;
}

/*
 * Drops packets that were queued for too long or arrived before the end of a
 * pause: their callers have retransmitted them, perhaps to another agent.
 */
static void receive_from_fleet(struct sid_worker *w, const struct viw *view)
{
	struct sid *sid = w->sid;
	uint8_t buf[FRM_MAX_DATAGRAM];
	uint64_t wall_ms = net_wall_ms();
	int budget = PACKET_BATCH;

	while (budget--) {
		struct agt_call call;
		Jj__Envelope *env;
		enum jj_status status;
		uint64_t age_ms = 0;
		ssize_t len =
			receive_data(w, buf, sizeof(buf), wall_ms, &age_ms);

		if (len < 0)
			return;
		if (age_ms > MAX_QUEUE_AGE_MS ||
		    wall_ms - age_ms < w->pause_end_wall_ms) {
			met_add(&sid->nod->met, MET_TOO_OLD, 1);
			continue;
		}
		status = frm_open(&sid->nod->key, &sid->nod->replay, &w->arena,
				  buf, (size_t)len, &env);
		if (status != JJ_OK) {
			count_rejected(sid, status);
			continue;
		}
		if (env->body_case != JJ__ENVELOPE__BODY_PACKET)
			continue;
		probe_outdated_sender(sid, env);
		call = make_call(sid, &w->lane, view);
		agt_on_packet(&call, env->packet);
	}
}

static void receive_from_target(struct sid_worker *w, const struct viw *view,
				uint32_t handle)
{
	struct sid *sid = w->sid;
	struct sid_flow *flow = flow_of(sid, handle);
	uint8_t buf[FRM_MAX_DATAGRAM];
	int budget = FLOW_BATCH;

	/* The flow may have been closed and its slot reused since the event. */
	while (flow->handle == handle && budget--) {
		struct agt_call call = make_call(sid, &w->lane, view);
		ssize_t len = recv(flow->fd, buf, sizeof(buf), MSG_DONTWAIT);

		if (len >= 0) {
			agt_on_target_datagram(&call, handle, buf, (size_t)len);
			continue;
		}
		if (errno == ECONNREFUSED)
			agt_on_target_refused(&call, handle);
		return;
	}
}

/*
 * Records the end of a pause of the process. Packets that arrived before it
 * are dropped, see receive_from_fleet().
 */
static void detect_pause(struct sid_worker *w)
{
	uint64_t now = net_now_ms();

	if (now - w->last_round_ms > NOD_PAUSE_MS) {
		w->pause_end_wall_ms = net_wall_ms();
		w->sid->paused = 1;
	}
	w->last_round_ms = now;
}

static void *run_worker(void *arg)
{
	struct sid_worker *w = arg;
	struct epoll_event events[64];

	rcu_register_thread();
	w->last_round_ms = net_now_ms();
	while (!w->sid->stopping) {
		int count =
			epoll_wait(w->epoll_fd, events, 64, POLL_TIMEOUT_MS);
		const struct viw *view;
		int i;

		detect_pause(w);
		rcu_read_lock();
		view = nod_view(w->sid->nod);
		if (w->sid->paused) {
			struct agt_call call =
				make_call(w->sid, &w->lane, view);

			w->sid->paused = 0;
			agt_resync_after_pause(&call);
		}
		for (i = 0; i < count; i++) {
			if (events[i].data.u64 == DATA_SOCKET)
				receive_from_fleet(w, view);
			else
				receive_from_target(
					w, view, (uint32_t)events[i].data.u64);
		}
		rcu_read_unlock();
	}
	rcu_unregister_thread();
	return NULL;
}

/* -- node hooks ---------------------------------------------------------- */

void sid_view_changed(void *ctx, struct nod_lane *lane, const struct viw *view)
{
	struct sid *sid = ctx;
	struct agt_call call = make_call(sid, lane, view);

	if (sid->restore_done)
		agt_view_changed(&call);
}

void sid_control(void *ctx, struct nod_lane *lane, const struct viw *view,
		 const Jj__Envelope *env)
{
	struct sid *sid = ctx;
	struct agt_call call = make_call(sid, lane, view);

	if (sid->restore_done)
		agt_on_control(&call, env);
}

void sid_tick(void *ctx, struct nod_lane *lane, const struct viw *view)
{
	struct sid *sid = ctx;
	struct agt_call call = make_call(sid, lane, view);

	sid_check_health(sid, net_now_ms());
	if (!sid->restore_done)
		return;
	sid_update_phase(sid, net_now_ms());
	/* Views that came before the state was restored were not applied. */
	if (sid->agt.digest == 0)
		agt_view_changed(&call);
	agt_tick(&call);
}

void sid_dump(void *ctx, FILE *out)
{
	struct sid *sid = ctx;
	struct adm_state state = adm_state(&sid->agt.adm);
	uint32_t exceptions = 0;
	int i;

	for (i = 0; i < AGT_SHARDS; i++)
		exceptions += sid->agt.shards[i].exception_count;
	fprintf(out,
		"agent service=%s phase=%d settled=%d flows=%u exceptions=%u "
		"in_flight=%u queued=%u cap=%u slots=%u warm=%d "
		"view=%016llx\n",
		sid->desc.agent.service, sid->phase, sid->agt.settled,
		sid->agt.flow_count, exceptions, state.in_flight, state.queued,
		state.cap, state.slots, state.warm,
		(unsigned long long)sid->agt.digest);
}

/* -- start and finish ---------------------------------------------------- */

static void raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static enum jj_status init_worker(struct sid *sid, uint32_t i,
				  struct jj_error *err)
{
	struct sid_worker *w = &sid->workers[i];
	struct epoll_event event = { .events = EPOLLIN,
				     .data.u64 = DATA_SOCKET };

	w->sid = sid;
	w->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	w->data_fd =
		net_udp(sid->desc.ip, sid->desc.data_port, NET_REUSE_PORT, err);
	if (w->data_fd < 0)
		return JJ_SYSTEM;
	if (w->epoll_fd < 0 ||
	    epoll_ctl(w->epoll_fd, EPOLL_CTL_ADD, w->data_fd, &event))
		return st_fail(err, JJ_SYSTEM, "worker thread: %s",
			       strerror(errno));
	frm_arena_init(&w->arena);
	nod_lane_init(sid->nod, &w->lane, NOD_LANE_WORKER + i);
	return JJ_OK;
}

enum jj_status sid_init(struct sid *sid, const struct sid_desc *desc,
			struct nod *nod, struct jj_error *err)
{
	struct agt_desc agent = desc->agent;
	enum jj_status status;
	uint32_t i;

	memset(sid, 0, sizeof(*sid));
	sid->desc = *desc;
	sid->nod = nod;
	sid->phase = JJ__PHASE__PHASE_JOINING;
	raise_file_limit();
	agent.id = nod->id;
	agent.incarnation = nod->incarnation;
	agent.met = &nod->met;
	agent.log = &nod->desc.log->sink;
	agent.hooks =
		(struct agt_hooks){ .open_socket = open_flow_socket,
				    .local_port = flow_local_port,
				    .close_socket = close_flow_socket,
				    .send_to_target = send_to_target,
				    .send_to_balancer = send_reply_to_balancer,
				    .send_to_agent = send_to_agent,
				    .send_control = send_control,
				    .ctx = sid };
	randombytes_buf(agent.echo_key, sizeof(agent.echo_key));
	status = agt_resolve(&agent, err);
	if (status != JJ_OK)
		return status;
	if (agt_init(&sid->agt, &agent) != JJ_OK)
		return st_fail(err, JJ_SYSTEM, "out of memory");
	sid->flows = calloc((size_t)AGT_SHARDS * sid->agt.flow_capacity,
			    sizeof(*sid->flows));
	if (!sid->flows)
		return st_fail(err, JJ_SYSTEM, "out of memory");
	sid->health_fd = net_udp(desc->ip, 0, 0, err);
	if (sid->health_fd < 0)
		return JJ_SYSTEM;
	sid->workers = calloc(desc->threads, sizeof(*sid->workers));
	if (!sid->workers)
		return st_fail(err, JJ_SYSTEM, "out of memory");
	for (i = 0; i < desc->threads; i++) {
		status = init_worker(sid, i, err);
		if (status != JJ_OK)
			return status;
	}
	return JJ_OK;
}

static void restore_state(struct sid *sid)
{
	Jj__Envelope *env = hnd_fetch(sid->nod, JOIN_TIMEOUT_MS);
	struct agt_call call;

	if (!env)
		return;
	rcu_register_thread();
	rcu_read_lock();
	call = make_call(sid, NULL, nod_view(sid->nod));
	agt_import(&call, env->handover);
	rcu_read_unlock();
	rcu_unregister_thread();
	log_put(&sid->nod->desc.log->sink, EV_STATE_RESTORED,
		"flows=%u of %zu requests=%zu", sid->agt.flow_count,
		env->handover->n_flows, env->handover->n_requests);
	jj__envelope__free_unpacked(env, NULL);
}

int sid_hand_over(struct sid *sid)
{
	size_t len = 0;
	uint8_t *packed = agt_export(&sid->agt, net_now_us(), &len);
	int copies = packed ? hnd_store(sid->nod, packed, len) : 0;

	log_put(&sid->nod->desc.log->sink,
		copies ? EV_STATE_HANDED_OVER : EV_HANDOVER_FAILED,
		"flows=%u bytes=%zu copies=%d", sid->agt.flow_count, len,
		copies);
	free(packed);
	return copies > 0;
}

enum jj_status sid_start(struct sid *sid, struct jj_error *err)
{
	uint32_t i;

	restore_state(sid);
	sid->restore_done = 1;
	for (i = 0; i < sid->desc.threads; i++)
		if (pthread_create(&sid->workers[i].thread, NULL, run_worker,
				   &sid->workers[i]))
			return st_fail(err, JJ_SYSTEM, "cannot start a thread");
	return JJ_OK;
}

void sid_stop(struct sid *sid)
{
	uint32_t i;

	sid->stopping = 1;
	for (i = 0; i < sid->desc.threads; i++)
		pthread_join(sid->workers[i].thread, NULL);
}

void sid_finish(struct sid *sid)
{
	uint32_t i;

	for (i = 0; i < sid->desc.threads; i++) {
		close(sid->workers[i].data_fd);
		close(sid->workers[i].epoll_fd);
	}
	close(sid->health_fd);
	agt_finish(&sid->agt);
	free(sid->flows);
	free(sid->workers);
}
