#include "ingress.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>
#include "net.h"

#define BATCH 16
#define PACKET_MAX 1536 /* bytes of a caller's datagram */
#define POLL_TIMEOUT_MS 250
/* After so long without a packet the fabric no longer sends any here. */
#define QUIET_MS 400
/* A starting balancer learns of all agents in well under this time. */
#define STARTUP_MS 3000

enum { SOCKET_CALLERS, SOCKET_DATA };

struct ing_thread {
	struct ing *ing;
	pthread_t thread;
	struct nod_lane lane;
	struct frm_arena arena;
	int epoll_fd;
	int caller_fd;
	int data_fd;
	uint64_t last_round_ms;
	/* packets queued in caller_fd may have arrived before a pause ended */
	int backlog_stale;
	struct mmsghdr in[BATCH];
	struct iovec iov[BATCH];
	uint8_t data[BATCH][PACKET_MAX];
};

/* -- callers' packets ---------------------------------------------------- */

static void reset_caller(struct ing_thread *t, const struct flw_packet *head)
{
	const struct ing_desc *desc = &t->ing->desc;
	struct sockaddr_in to = net_address(head->caller_ip, desc->caller_port);
	uint8_t buf[FLW_OPENING_BYTES];
	size_t len = desc->codec.reset(head, 0, buf, sizeof(buf));

	met_add(&t->ing->nod->met, MET_RESETS, 1);
	if (len)
		sendto(t->caller_fd, buf, len, MSG_DONTWAIT,
		       (struct sockaddr *)&to, sizeof(to));
}

static void log_unroutable(struct ing_thread *t, enum log_event event,
			   const struct viw *view,
			   const struct flw_packet *head)
{
	log_put(&t->ing->nod->desc.log->sink, event,
		"flow=%08x:%u>%08x:%u repeat=%u opens=%d revision=%s "
		"agents=%u",
		head->caller_ip, head->caller_port, head->service_ip,
		head->service_port, head->repeat, head->opens,
		tbl_format_revision(view->revision).text, view->agent_count);
}

static void handle_unroutable(struct ing_thread *t, const struct viw *view,
			      const struct flw_packet *head,
			      enum jj_status status)
{
	struct ing *ing = t->ing;
	int starting = net_now_ms() < ing->started_ms + STARTUP_MS;

	met_add(&ing->nod->met,
		status == JJ_NOT_FOUND ? MET_NO_ROUTE : MET_NO_TARGET, 1);
	log_unroutable(t,
		       status == JJ_NOT_FOUND ? EV_OPENING_WITHOUT_ROUTE :
						EV_NO_TARGET,
		       view, head);
	/*
	 * While starting, this balancer may not know all agents: it sends no
	 * reset, so that the caller retransmits.
	 */
	if (head->opens && !starting)
		reset_caller(t, head);
}

static void send_packet(struct ing_thread *t, const struct rly_choice *choice,
			const struct flw_packet *head, uint64_t key,
			const uint8_t *data, size_t len)
{
	struct ing *ing = t->ing;
	struct sockaddr_in to =
		net_address(choice->agent->ip, choice->agent->data_port);
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__Packet packet = JJ__PACKET__INIT;
	size_t sealed;

	packet.service = choice->service->id;
	packet.caller_ip = head->caller_ip;
	packet.caller_port = head->caller_port;
	packet.flow = key;
	packet.via_ip = ing->desc.data_ip;
	packet.via_port = ing->desc.data_port;
	packet.via_id = ing->nod->id;
	packet.to_agent = choice->agent->id;
	packet.to_incarnation = choice->agent->incarnation;
	packet.data.data = (uint8_t *)data;
	packet.data.len = len;
	env.body_case = JJ__ENVELOPE__BODY_PACKET;
	env.packet = &packet;
	sealed = frm_seal(&t->lane.out, &env, t->lane.buf, sizeof(t->lane.buf));
	met_add(&ing->nod->met, MET_FORWARDED, 1);
	met_add(&ing->nod->met, MET_CACHE_HITS, (uint64_t)choice->cached);
	if (sealed)
		sendto(t->data_fd, t->lane.buf, sealed, MSG_DONTWAIT,
		       (struct sockaddr *)&to, sizeof(to));
}

static void relay_one(struct ing_thread *t, const struct viw *view,
		      const uint8_t *data, size_t len, uint64_t now_ms)
{
	struct ing *ing = t->ing;
	struct rly_choice choice;
	struct flw_packet head;
	enum jj_status status;
	uint64_t key;

	if (ing->desc.codec.decode(data, len, 0, &head) != JJ_OK) {
		met_add(&ing->nod->met, MET_BAD_FRAME, 1);
		return;
	}
	/* The caller has retransmitted it since, or has given up. */
	if (t->backlog_stale && head.opens) {
		met_add(&ing->nod->met, MET_TOO_OLD, 1);
		return;
	}
	key = flw_key(&head);
	status = rly_pick(&ing->rly, view, &head, key, now_ms, &choice);
	if (status == JJ_OK)
		send_packet(t, &choice, &head, key, data, len);
	else
		handle_unroutable(t, view, &head, status);
}

static int receive_batch(struct ing_thread *t, int fd)
{
	int i;

	for (i = 0; i < BATCH; i++) {
		t->iov[i].iov_base = t->data[i];
		t->iov[i].iov_len = PACKET_MAX;
		t->in[i].msg_hdr = (struct msghdr){ .msg_iov = &t->iov[i],
						    .msg_iovlen = 1 };
	}
	return recvmmsg(fd, t->in, BATCH, MSG_DONTWAIT, NULL);
}

static void receive_from_callers(struct ing_thread *t, const struct viw *view)
{
	uint64_t now_ms = net_now_ms();
	int count = receive_batch(t, t->caller_fd);
	int i;

	if (count > 0) {
		t->ing->last_packet_ms = now_ms;
		met_add(&t->ing->nod->met, MET_PACKETS_IN, (uint64_t)count);
	}
	for (i = 0; i < count; i++)
		relay_one(t, view, t->data[i], t->in[i].msg_len, now_ms);
	if (count < BATCH)
		t->backlog_stale = 0;
}

/* -- messages of agents -------------------------------------------------- */

static void on_holdings(struct ing_thread *t, const struct viw *view,
			const Jj__Holdings *holdings)
{
	uint64_t now_ms = net_now_ms();
	size_t i;

	for (i = 0; i < holdings->n_items; i++) {
		const Jj__Holding *item = holdings->items[i];

		if (item->waiting)
			rly_learn_waiting(&t->ing->rly, view, item->flow,
					  item->holder, now_ms);
		else
			rly_learn(&t->ing->rly, view, item->flow, item->holder,
				  now_ms);
	}
}

static void receive_from_fleet(struct ing_thread *t, const struct viw *view)
{
	struct nod *nod = t->ing->nod;
	int count = receive_batch(t, t->data_fd);
	int i;

	for (i = 0; i < count; i++) {
		Jj__Envelope *env;
		enum jj_status status =
			frm_open(&nod->key, &nod->replay, &t->arena, t->data[i],
				 t->in[i].msg_len, &env);

		if (status != JJ_OK)
			nod_count_rejected(nod, status, 0, 0);
		else if (env->body_case == JJ__ENVELOPE__BODY_HOLDINGS)
			on_holdings(t, view, env->holdings);
	}
}

/* -- threads ------------------------------------------------------------- */

static void *run_thread(void *arg)
{
	struct ing_thread *t = arg;
	struct epoll_event events[2];

	rcu_register_thread();
	frm_arena_init(&t->arena);
	t->last_round_ms = net_boot_ms();
	while (!t->ing->stopping) {
		int count = epoll_wait(t->epoll_fd, events, 2, POLL_TIMEOUT_MS);
		const struct viw *view;
		int i;

		if (nod_pause_ms(&t->last_round_ms))
			t->backlog_stale = 1;
		else if (!count)
			t->backlog_stale = 0;
		rcu_read_lock();
		view = nod_view(t->ing->nod);
		for (i = 0; i < count; i++) {
			if (events[i].data.u32 == SOCKET_CALLERS)
				receive_from_callers(t, view);
			else
				receive_from_fleet(t, view);
		}
		rcu_read_unlock();
	}
	rcu_unregister_thread();
	return NULL;
}

static int add_to_epoll(struct ing_thread *t, int fd, uint32_t tag)
{
	struct epoll_event event = { .events = EPOLLIN, .data.u32 = tag };

	return epoll_ctl(t->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

static enum jj_status init_thread(struct ing *ing, uint32_t i,
				  struct jj_error *err)
{
	struct ing_thread *t = &ing->threads[i];
	const struct ing_desc *desc = &ing->desc;

	t->ing = ing;
	t->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	t->caller_fd = net_udp(desc->ip, desc->port, NET_REUSE_PORT, err);
	if (t->caller_fd < 0)
		return JJ_SYSTEM;
	t->data_fd =
		net_udp(desc->data_ip, desc->data_port, NET_REUSE_PORT, err);
	if (t->data_fd < 0)
		return JJ_SYSTEM;
	if (t->epoll_fd < 0 || add_to_epoll(t, t->caller_fd, SOCKET_CALLERS) ||
	    add_to_epoll(t, t->data_fd, SOCKET_DATA))
		return st_fail(err, JJ_SYSTEM, "ingress thread: %s",
			       strerror(errno));
	nod_lane_init(ing->nod, &t->lane, NOD_LANE_WORKER + i);
	return JJ_OK;
}

enum jj_status ing_init(struct ing *ing, const struct ing_desc *desc,
			struct nod *nod, struct jj_error *err)
{
	uint32_t i;

	memset(ing, 0, sizeof(*ing));
	ing->desc = *desc;
	ing->nod = nod;
	ing->started_ms = net_now_ms();
	if (rly_init(&ing->rly, &desc->cache) != JJ_OK)
		return st_fail(err, JJ_SYSTEM, "out of memory");
	ing->rly.data_centre = rnk_name_id(nod->desc.data_centre);
	ing->threads = calloc(desc->threads, sizeof(*ing->threads));
	if (!ing->threads)
		return st_fail(err, JJ_SYSTEM, "out of memory");
	for (i = 0; i < desc->threads; i++) {
		enum jj_status status = init_thread(ing, i, err);

		if (status != JJ_OK)
			return status;
	}
	return JJ_OK;
}

enum jj_status ing_start(struct ing *ing, struct jj_error *err)
{
	uint32_t i;

	for (i = 0; i < ing->desc.threads; i++)
		if (pthread_create(&ing->threads[i].thread, NULL, run_thread,
				   &ing->threads[i]))
			return st_fail(err, JJ_SYSTEM, "cannot start a thread");
	return JJ_OK;
}

void ing_finish(struct ing *ing)
{
	uint32_t i;

	ing->stopping = 1;
	for (i = 0; i < ing->desc.threads; i++) {
		pthread_join(ing->threads[i].thread, NULL);
		close(ing->threads[i].caller_fd);
		close(ing->threads[i].data_fd);
		close(ing->threads[i].epoll_fd);
	}
	free(ing->threads);
	rly_finish(&ing->rly);
}

int ing_ready(const struct ing *ing)
{
	const struct viw *view;
	uint32_t usable = 0;
	uint32_t i;

	rcu_read_lock();
	view = nod_view(ing->nod);
	for (i = 0; i < view->agent_count; i++)
		usable += view->agents[i].can_hold;
	usable = view->revision ? usable : 0;
	rcu_read_unlock();
	return usable > 0;
}

int ing_idle(void *ctx)
{
	struct ing *ing = ctx;

	return net_now_ms() > ing->last_packet_ms + QUIET_MS;
}
