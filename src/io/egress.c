#include "egress.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>
#include "net.h"

#define BATCH 64 /* datagrams read from one socket at a time */
/* A line per data centre, SPL_CENTRES_MAX at most, of under 200 bytes. */
#define SPILL_TEXT_BYTES 4096
#define POLL_TIMEOUT_MS 250
/*
 * Wait for the target's first heartbeat before its port is probed: about one
 * heartbeat interval; most targets send a heartbeat sooner.
 */
#define TARGET_PROBE_DELAY_MS 400
/*
 * Time in which other processes learn of the stop. Before that they may still
 * send openings here.
 */
#define STOP_SPREAD_MS 300

enum { SOCKET_TARGET, SOCKET_DATA };

struct egr_thread {
	struct egr *egr;
	pthread_t thread;
	struct nod_lane lane;
	struct frm_arena arena;
	int epoll_fd;
	int target_fd;
	int data_fd;
	uint64_t last_round_ms;
	/* datagrams queued in data_fd may have arrived before a pause ended */
	uint8_t backlog_stale;
};

static struct flw_call make_call(struct egr *egr, struct nod_lane *lane,
				 const struct viw *view)
{
	struct flw_call call = { .flw = &egr->flw,
				 .thread = lane,
				 .view = view,
				 .now = net_now_us() };

	return call;
}

/* -- hooks of the flow layer --------------------------------------------- */

/* Errors are ignored: the datagram is lost, as on any link. */
static void send_datagram(struct egr *egr, uint32_t ip, uint16_t port,
			  const uint8_t *data, size_t len)
{
	struct sockaddr_in to = net_address(ip, port);

	sendto(egr->threads[0].target_fd, data, len, MSG_DONTWAIT,
	       (struct sockaddr *)&to, sizeof(to));
}

static void send_to_target(void *ctx, const uint8_t *data, size_t len)
{
	struct egr *egr = ctx;

	send_datagram(egr, egr->desc.target_ip, egr->desc.target_port, data,
		      len);
}

static void send_to_caller(void *ctx, uint32_t ip, const uint8_t *data,
			   size_t len)
{
	struct egr *egr = ctx;

	send_datagram(egr, ip, egr->desc.caller_port, data, len);
}

static void send_to_process(void *ctx, void *thread, uint32_t ip, uint16_t port,
			    Jj__Envelope *env)
{
	struct egr *egr = ctx;
	struct nod_lane *lane = thread;
	struct sockaddr_in to = net_address(ip, port);
	size_t len = frm_seal(&lane->out, env, lane->buf, sizeof(lane->buf));

	if (len)
		sendto(egr->threads[0].data_fd, lane->buf, len, MSG_DONTWAIT,
		       (struct sockaddr *)&to, sizeof(to));
}

static void send_to_agent(void *ctx, void *thread,
			  const struct viw_agent *agent, Jj__Packet *packet)
{
	Jj__Envelope env = JJ__ENVELOPE__INIT;

	env.body_case = JJ__ENVELOPE__BODY_PACKET;
	env.packet = packet;
	send_to_process(ctx, thread, agent->ip, agent->data_port, &env);
}

static void send_control(void *ctx, void *thread, const struct viw_agent *agent,
			 Jj__Envelope *env)
{
	struct egr *egr = ctx;

	nod_send(egr->nod, thread, agent->ip, agent->control_port, env);
}

/* -- threads ------------------------------------------------------------- */

static void dispatch_message(struct egr_thread *t, const struct viw *view,
			     const Jj__Envelope *env)
{
	struct flw_call call = make_call(t->egr, &t->lane, view);

	call.delayed = t->backlog_stale;
	if (env->body_case == JJ__ENVELOPE__BODY_PACKET)
		flw_from_caller(&call, env->packet);
	else if (env->body_case == JJ__ENVELOPE__BODY_HOLDINGS)
		flw_on_holdings(&call, env->holdings);
	else if (env->body_case == JJ__ENVELOPE__BODY_INQUIRY)
		flw_on_inquiry(&call, env->inquiry);
	else if (env->body_case == JJ__ENVELOPE__BODY_INQUIRY_REPLY)
		flw_on_inquiry_reply(&call, env->sender, env->inquiry_reply);
}

static void receive_from_fleet(struct egr_thread *t, const struct viw *view)
{
	struct nod *nod = t->egr->nod;
	uint8_t buf[FRM_MAX_DATAGRAM];
	int budget = BATCH;

	while (budget--) {
		ssize_t len = recv(t->data_fd, buf, sizeof(buf), MSG_DONTWAIT);
		Jj__Envelope *env;
		enum jj_status status;

		if (len < 0) {
			t->backlog_stale = 0;
			return;
		}
		status = frm_open(&nod->key, &nod->replay, &t->arena, buf,
				  (size_t)len, &env);
		if (status == JJ_OK)
			dispatch_message(t, view, env);
		else
			nod_count_rejected(nod, status, 0, 0);
	}
}

static void receive_from_target(struct egr_thread *t, const struct viw *view)
{
	uint8_t buf[FRM_MAX_DATAGRAM];
	int budget = BATCH;

	while (budget--) {
		ssize_t len =
			recv(t->target_fd, buf, sizeof(buf), MSG_DONTWAIT);
		struct flw_call call;

		/* An earlier datagram hit a closed port; read on. */
		if (len < 0 && errno == ECONNREFUSED)
			continue;
		if (len < 0)
			return;
		/* The clock is read after the packet has arrived. */
		call = make_call(t->egr, &t->lane, view);
		flw_from_target(&call, buf, (size_t)len);
	}
}

static void *run_thread(void *arg)
{
	struct egr_thread *t = arg;
	struct epoll_event events[2];

	rcu_register_thread();
	frm_arena_init(&t->arena);
	t->last_round_ms = net_boot_ms();
	while (!t->egr->stopping) {
		int count = epoll_wait(t->epoll_fd, events, 2, POLL_TIMEOUT_MS);
		const struct viw *view;
		int i;

		if (nod_pause_ms(&t->last_round_ms))
			t->backlog_stale = 1;
		else if (!count)
			t->backlog_stale = 0;
		rcu_read_lock();
		view = nod_view(t->egr->nod);
		for (i = 0; i < count; i++) {
			if (events[i].data.u32 == SOCKET_TARGET)
				receive_from_target(t, view);
			else
				receive_from_fleet(t, view);
		}
		rcu_read_unlock();
	}
	rcu_unregister_thread();
	return NULL;
}

/* -- node hooks ---------------------------------------------------------- */

void egr_view_changed(void *ctx, struct nod_lane *lane, const struct viw *view)
{
	struct egr *egr = ctx;
	struct flw_call call = make_call(egr, lane, view);

	flw_view_changed(&call);
}

void egr_control(void *ctx, struct nod_lane *lane, const struct viw *view,
		 const Jj__Envelope *env)
{
	struct egr *egr = ctx;
	struct flw_call call = make_call(egr, lane, view);

	if (env->body_case == JJ__ENVELOPE__BODY_LOAD)
		flw_on_load(&call, env->sender, env->load);
}

/*
 * The target's address is probed at once, as a target that does not run yet is
 * younger than this agent, whatever its first heartbeat says. A running target
 * sends a heartbeat within one interval of the agent's start. When none has
 * come, its address is probed again: if nothing serves it, the target holds no
 * flows, so that nothing has to wait for its heartbeat.
 */
static int is_start_probe_due(const struct egr *egr, int known)
{
	if (known)
		return 0;
	return egr->start_probe == EGR_PROBE_AT_ONCE ||
	       (egr->start_probe == EGR_PROBE_AFTER_DELAY &&
		net_now_ms() >= egr->started_ms + TARGET_PROBE_DELAY_MS);
}

/* Handles the result of a probe after a start, and schedules the next. */
static void on_start_probe_result(struct egr *egr, enum ppr_result result,
				  int known)
{
	if (result == PPR_REFUSED && !known) {
		if (egr->start_probe == EGR_PROBE_AT_ONCE)
			flw_on_target_absent(&egr->flw);
		else
			flw_on_target_port_closed(&egr->flw);
	}
	egr->start_probe = egr->start_probe == EGR_PROBE_AT_ONCE ?
				   EGR_PROBE_AFTER_DELAY :
				   EGR_PROBE_DONE;
}

static enum prb_result probe_result(enum ppr_result result)
{
	return result == PPR_ACCEPTED ? PRB_ACCEPTED :
	       result == PPR_REFUSED  ? PRB_REFUSED :
					PRB_UNKNOWN;
}

/* Begins a probe of the target, or reads the result of one. Never blocks. */
static void probe_target(struct egr *egr, const struct flw_call *call)
{
	int known = flw_target_known(&egr->flw);
	enum ppr_result result;

	if (!egr->probe.running) {
		egr->probe_began_at = flw_begin_probe(call);
		if (!egr->probe_began_at && !is_start_probe_due(egr, known))
			return;
		ppr_begin(&egr->probe, net_now_ms());
	}
	result = ppr_result(&egr->probe, net_now_ms());
	if (result == PPR_PENDING)
		return;
	if (egr->probe_began_at) {
		flw_on_probe_result(call, egr->probe_began_at,
				    probe_result(result));
		return;
	}
	on_start_probe_result(egr, result, known);
}

/* Announces the target's phase to the fleet. */
static void announce_phase(struct egr *egr, uint64_t now)
{
	Jj__Phase phase = flw_phase(&egr->flw, now);

	nod_set_phase(egr->nod, phase);
	flw_on_phase_announced(&egr->flw, phase, net_now_us());
	flw_on_ping_answered(&egr->flw, egr->nod->confirmed_ms * 1000,
			     net_now_us());
}

void egr_tick(void *ctx, struct nod_lane *lane, const struct viw *view)
{
	struct egr *egr = ctx;
	struct flw_call call = make_call(egr, lane, view);

	probe_target(egr, &call);
	announce_phase(egr, call.now);
	if (egr->nod->joined)
		flw_set_members_known(&egr->flw);
	flw_tick(&call);
}

void egr_dump(void *ctx, FILE *out)
{
	struct egr *egr = ctx;
	struct flw *flw = &egr->flw;
	char spill[SPILL_TEXT_BYTES];

	pthread_mutex_lock(&flw->target_lock);
	fprintf(out,
		"target id=%s slots=%u leaving=%d unanswered=%u flows=%u "
		"in_hand=%u waiting=%u\n",
		*flw->target.last.id ? flw->target.last.id : "-",
		flw->target.last.slots, flw->target.last.leaving,
		flw->target.unanswered, (unsigned)flw->flow_count,
		(unsigned)flw->in_flight, (unsigned)flw->waiting_count);
	pthread_mutex_unlock(&flw->target_lock);
	if (flw_format_spill(flw, net_now_us(), spill, sizeof(spill)))
		fputs(spill, out);
}

/* -- start and finish ---------------------------------------------------- */

static int add_to_epoll(struct egr_thread *t, int fd, uint32_t tag)
{
	struct epoll_event event = { .events = EPOLLIN, .data.u32 = tag };

	return epoll_ctl(t->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

static enum jj_status init_thread(struct egr *egr, uint32_t i,
				  struct jj_error *err)
{
	struct egr_thread *t = &egr->threads[i];
	const struct egr_desc *desc = &egr->desc;

	t->egr = egr;
	t->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	t->target_fd = net_udp(desc->ip, desc->port, NET_REUSE_PORT, err);
	if (t->target_fd < 0)
		return JJ_SYSTEM;
	t->data_fd =
		net_udp(desc->data_ip, desc->data_port, NET_REUSE_PORT, err);
	if (t->data_fd < 0)
		return JJ_SYSTEM;
	if (t->epoll_fd < 0 || add_to_epoll(t, t->target_fd, SOCKET_TARGET) ||
	    add_to_epoll(t, t->data_fd, SOCKET_DATA))
		return st_fail(err, JJ_SYSTEM, "egress thread: %s",
			       strerror(errno));
	nod_lane_init(egr->nod, &t->lane, NOD_LANE_WORKER + i);
	return JJ_OK;
}

enum jj_status egr_init(struct egr *egr, const struct egr_desc *desc,
			struct nod *nod, struct jj_error *err)
{
	struct flw_desc flow = desc->flow;
	enum jj_status status;
	uint32_t i;

	memset(egr, 0, sizeof(*egr));
	egr->desc = *desc;
	egr->nod = nod;
	/*
	 * The probe of a start is as before where silent targets are not
	 * probed: connections only, without a time limit.
	 */
	ppr_init(&egr->probe, desc->target_ip, desc->target_port,
		 desc->flow.probe_silence_ms > 0);
	egr->started_ms = net_now_ms();
	flow.id = nod->id;
	flow.target_ip = desc->target_ip;
	flow.target_port = desc->target_port;
	flow.met = &nod->met;
	flow.log = &nod->desc.log->sink;
	flow.hooks = (struct flw_hooks){ .to_target = send_to_target,
					 .to_caller = send_to_caller,
					 .to_agent = send_to_agent,
					 .to_process = send_to_process,
					 .control = send_control,
					 .ctx = egr };
	status = flw_resolve(&flow, err);
	if (status != JJ_OK)
		return status;
	if (flw_init(&egr->flw, &flow, net_now_us()) != JJ_OK)
		return st_fail(err, JJ_SYSTEM, "out of memory");
	egr->threads = calloc(desc->threads, sizeof(*egr->threads));
	if (!egr->threads)
		return st_fail(err, JJ_SYSTEM, "out of memory");
	for (i = 0; i < desc->threads; i++) {
		status = init_thread(egr, i, err);
		if (status != JJ_OK)
			return status;
	}
	return JJ_OK;
}

enum jj_status egr_start(struct egr *egr, struct jj_error *err)
{
	uint32_t i;

	for (i = 0; i < egr->desc.threads; i++)
		if (pthread_create(&egr->threads[i].thread, NULL, run_thread,
				   &egr->threads[i]))
			return st_fail(err, JJ_SYSTEM, "cannot start a thread");
	return JJ_OK;
}

void egr_finish(struct egr *egr)
{
	uint32_t i;

	egr->stopping = 1;
	for (i = 0; i < egr->desc.threads; i++) {
		pthread_join(egr->threads[i].thread, NULL);
		close(egr->threads[i].target_fd);
		close(egr->threads[i].data_fd);
		close(egr->threads[i].epoll_fd);
	}
	free(egr->threads);
	ppr_finish(&egr->probe);
	flw_finish(&egr->flw);
}

enum jj_status egr_on_heartbeat(struct egr *egr,
				const struct flw_heartbeat *heartbeat,
				struct jj_error *err)
{
	enum jj_status status =
		flw_on_heartbeat(&egr->flw, heartbeat, net_now_us(), err);

	if (status != JJ_OK)
		log_put(&egr->nod->desc.log->sink, EV_HEARTBEAT_REJECTED, "%s",
			err->message);
	return status;
}

void egr_stop(struct egr *egr)
{
	flw_stop(&egr->flw);
	egr->stopping_ms = net_now_ms();
}

int egr_idle(void *ctx)
{
	struct egr *egr = ctx;

	return net_now_ms() > egr->stopping_ms + STOP_SPREAD_MS &&
	       !egr->flw.in_flight && !egr->flw.waiting_count;
}
