#include "forward.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include <urcu.h>
#include "net.h"

#define BATCH 32 /* datagrams per system call */
#define PACKET_MAX 1500 /* bytes of a caller's datagram */
#define POLL_TIMEOUT_MS 50
#define DRAIN_ROUNDS_MAX 32 /* per thread, after the stop */

/* A socket on a service address. */
struct fwd_service {
	uint64_t id;
	uint32_t ip;
	uint16_t port;
	int fd;
	int in_view; /* the current view has this service address */
};

/* Buffers for received and outgoing datagrams of one thread. */
struct fwd_batch {
	struct mmsghdr in[BATCH];
	struct iovec in_iov[BATCH];
	struct sockaddr_in in_addr[BATCH];
	uint8_t in_data[BATCH][FRM_MAX_DATAGRAM];
	uint8_t in_control[BATCH][NET_CONTROL_BYTES];
	struct mmsghdr out[BATCH];
	struct iovec out_iov[BATCH];
	struct sockaddr_in out_addr[BATCH];
	uint8_t out_data[BATCH][FRM_MAX_DATAGRAM];
	unsigned out_count;
	int out_fd; /* all queued datagrams leave through it */
};

struct fwd_thread {
	struct fwd *fwd;
	pthread_t thread;
	struct nod_lane lane;
	struct frm_arena arena;
	struct fwd_batch batch;
	struct fwd_service *services;
	uint32_t service_count;
	uint32_t service_capacity;
	struct map index; /* service id -> position in services */
	struct map_cell *cells;
	uint64_t view_serial; /* of the view that the sockets match, 0: none */
	int epoll_fd;
	int data_fd;
	int logs_services; /* only one thread logs opened and closed services */
};

#define DATA_SOCKET UINT32_MAX /* epoll tag; others are service ids */

/* -- service sockets ----------------------------------------------------- */

static struct fwd_service *find_service(struct fwd_thread *t, uint64_t id)
{
	uint32_t at = map_get(&t->index, id);

	return at == MAP_NONE ? NULL : &t->services[at];
}

static int add_to_epoll(struct fwd_thread *t, int fd, uint64_t tag)
{
	struct epoll_event event = { .events = EPOLLIN, .data.u64 = tag };

	return epoll_ctl(t->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

static void open_service(struct fwd_thread *t, const struct viw_service *from)
{
	const struct log_sink *log = &t->fwd->nod->desc.log->sink;
	struct fwd_service service = {
		.id = from->id, .ip = from->ip, .port = from->port, .in_view = 1
	};
	struct jj_error err;

	if (t->service_count == t->service_capacity)
		return;
	service.fd = net_udp(from->ip, from->port,
			     NET_REUSE_PORT | NET_TIMESTAMPS, &err);
	if (service.fd < 0) {
		log_put(log, EV_SOCKET_FAILED, "service=%s %s", from->name,
			err.message);
		return;
	}
	add_to_epoll(t, service.fd, service.id);
	map_put(&t->index, service.id, t->service_count);
	t->services[t->service_count++] = service;
	if (t->logs_services)
		log_put(log, EV_SERVICE_OPEN, "service=%s address=%s",
			from->name, net_format_address(from->ip, from->port));
}

static void close_removed(struct fwd_thread *t)
{
	uint32_t i = 0;

	while (i < t->service_count) {
		struct fwd_service *service = &t->services[i];

		if (service->in_view) {
			i++;
			continue;
		}
		if (t->logs_services)
			log_put(&t->fwd->nod->desc.log->sink, EV_SERVICE_CLOSED,
				"address=%s",
				net_format_address(service->ip, service->port));
		close(service->fd);
		map_del(&t->index, service->id);
		*service = t->services[--t->service_count];
		if (i < t->service_count)
			map_put(&t->index, service->id, i);
	}
}

/* Whether forwarding is allowed, see rt_fenced(); logs when it resumes. */
static int may_forward(struct fwd_thread *t, uint64_t now_ms)
{
	struct nod *nod = t->fwd->nod;
	int fenced = rt_fenced(&t->fwd->rt, nod->confirmed_ms, now_ms,
			       nod->live_peers);

	if (fenced != nod->was_fenced) {
		nod->was_fenced = fenced;
		if (!fenced)
			log_put(&nod->desc.log->sink, EV_RESUMED,
				"revision=%llu",
				(unsigned long long)nod->revision);
	}
	return !fenced;
}

/*
 * Opens and closes service sockets so that they match the view. A balancer
 * has none before its view is first confirmed, nor while its own data centre
 * is out.
 */
static void update_sockets(struct fwd_thread *t, const struct viw *view)
{
	uint32_t i;

	if (view->serial == t->view_serial ||
	    (!t->view_serial && !may_forward(t, net_now_ms())))
		return;
	t->view_serial = view->serial;
	for (i = 0; i < t->service_count; i++)
		t->services[i].in_view = 0;
	for (i = 0; i < view->service_count && !view->self_out; i++) {
		const struct viw_service *from = &view->services[i];
		struct fwd_service *service = find_service(t, from->id);

		if (service && service->ip == from->ip &&
		    service->port == from->port)
			service->in_view = 1;
	}
	close_removed(t);
	for (i = 0; i < view->service_count && !view->self_out; i++)
		if (view->services[i].port &&
		    !find_service(t, view->services[i].id))
			open_service(t, &view->services[i]);
}

/* -- sending ------------------------------------------------------------- */

static void flush(struct fwd_thread *t)
{
	struct fwd_batch *b = &t->batch;
	unsigned sent = 0;

	while (sent < b->out_count) {
		int n = sendmmsg(b->out_fd, b->out + sent, b->out_count - sent,
				 MSG_DONTWAIT);

		/* On an error one datagram is lost, as on any link. */
		sent += n > 0 ? (unsigned)n : 1;
	}
	b->out_count = 0;
}

/* Buffer for the next datagram to send on fd; sets its destination. */
static uint8_t *next_out_buffer(struct fwd_thread *t, int fd, uint32_t ip,
				uint16_t port)
{
	struct fwd_batch *b = &t->batch;

	if (b->out_count == BATCH || (b->out_count && b->out_fd != fd))
		flush(t);
	b->out_fd = fd;
	b->out_addr[b->out_count] = net_address(ip, port);
	return b->out_data[b->out_count];
}

/* Queues the datagram in that buffer; len 0: discards it. */
static void queue_out(struct fwd_thread *t, size_t len)
{
	struct fwd_batch *b = &t->batch;

	if (!len)
		return;
	b->out_iov[b->out_count].iov_len = len;
	b->out_count++;
}

/* -- callers' packets ---------------------------------------------------- */

static void forward_one(struct fwd_thread *t, const struct viw *view,
			const struct viw_service *service, unsigned i,
			uint64_t now_ms)
{
	struct fwd_batch *b = &t->batch;
	struct met *met = &t->fwd->nod->met;
	uint32_t caller_ip = ntohl(b->in_addr[i].sin_addr.s_addr);
	uint16_t caller_port = ntohs(b->in_addr[i].sin_port);
	uint64_t key = rt_flow_key(caller_ip, caller_port, service->id);
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__Packet packet = JJ__PACKET__INIT;
	struct rt_choice choice;
	uint8_t *out;

	if (rt_pick(&t->fwd->rt, view, service, key, now_ms, &choice) !=
	    JJ_OK) {
		met_add(met, MET_NO_TARGET, 1);
		log_put(&t->fwd->nod->desc.log->sink, EV_NO_TARGET,
			"service=%s", service->name);
		return;
	}
	met_add(met, MET_CACHE_HITS, (uint64_t)choice.cached);
	met_add(met, MET_FORWARDED, 1);
	packet.service = service->id;
	packet.caller_ip = caller_ip;
	packet.caller_port = caller_port;
	packet.flow = key;
	packet.via_ip = t->fwd->desc.ip;
	packet.via_port = t->fwd->desc.data_port;
	packet.via_id = t->fwd->nod->id;
	packet.to_agent = choice.agent->id;
	packet.to_incarnation = choice.agent->incarnation;
	packet.data.data = b->in_data[i];
	packet.data.len = b->in[i].msg_len;
	env.body_case = JJ__ENVELOPE__BODY_PACKET;
	env.packet = &packet;
	out = next_out_buffer(t, t->data_fd, choice.agent->ip,
			      choice.agent->data_port);
	queue_out(t, frm_seal(&t->lane.out, &env, out, FRM_MAX_DATAGRAM));
}

static int receive_batch(struct fwd_thread *t, int fd)
{
	struct fwd_batch *b = &t->batch;
	int i;

	for (i = 0; i < BATCH; i++) {
		b->in[i].msg_hdr.msg_namelen = sizeof(b->in_addr[i]);
		b->in[i].msg_hdr.msg_controllen = NET_CONTROL_BYTES;
	}
	return recvmmsg(fd, b->in, BATCH, MSG_DONTWAIT, NULL);
}

static void receive_from_callers(struct fwd_thread *t, const struct viw *view,
				 struct fwd_service *socket)
{
	const struct viw_service *service = viw_service(view, socket->id);
	struct fwd_batch *b = &t->batch;
	struct met *met = &t->fwd->nod->met;
	uint64_t now_ms = net_now_ms();
	uint64_t wall_ms = net_wall_ms();
	int count = receive_batch(t, socket->fd);
	int i;

	if (count <= 0)
		return;
	met_add(met, MET_PACKETS_IN, (uint64_t)count);
	if (!service)
		return;
	if (!may_forward(t, now_ms)) {
		met_add(met, MET_FENCED, (uint64_t)count);
		return;
	}
	for (i = 0; i < count; i++) {
		if (b->in[i].msg_len > PACKET_MAX)
			continue;
		if (net_queue_age_ms(&b->in[i].msg_hdr, wall_ms) >
		    t->fwd->desc.max_queue_age_ms)
			met_add(met, MET_TOO_OLD, 1);
		else
			forward_one(t, view, service, (unsigned)i, now_ms);
	}
	flush(t);
}

/* -- replies ------------------------------------------------------------- */

static void reply_one(struct fwd_thread *t, const Jj__Reply *reply,
		      uint64_t now_ms)
{
	struct fwd_service *service = find_service(t, reply->service);
	uint8_t *out;

	if (!service || reply->data.len > FRM_MAX_DATAGRAM)
		return;
	if (reply->holder)
		rt_learn(&t->fwd->rt, reply->flow, reply->holder, now_ms);
	out = next_out_buffer(t, service->fd, reply->caller_ip,
			      (uint16_t)reply->caller_port);
	memcpy(out, reply->data.data, reply->data.len);
	queue_out(t, reply->data.len);
	met_add(&t->fwd->nod->met, MET_PACKETS_OUT, 1);
}

static void count_rejected(struct fwd_thread *t, enum jj_status status)
{
	enum met_counter counter = MET_BAD_FRAME;

	if (status == JJ_UNAUTHENTICATED)
		counter = MET_BAD_AUTH;
	else if (status == JJ_REPLAYED)
		counter = MET_REPLAYED;
	met_add(&t->fwd->nod->met, counter, 1);
	log_put(&t->fwd->nod->desc.log->sink, EV_BAD_FRAME, "reason=%s",
		st_name(status));
}

static void receive_from_agents(struct fwd_thread *t)
{
	struct fwd_batch *b = &t->batch;
	struct nod *nod = t->fwd->nod;
	uint64_t now_ms = net_now_ms();
	int count = receive_batch(t, t->data_fd);
	int i;

	for (i = 0; i < count; i++) {
		Jj__Envelope *env;
		enum jj_status status =
			frm_open(&nod->key, &nod->replay, &t->arena,
				 b->in_data[i], b->in[i].msg_len, &env);

		if (status != JJ_OK)
			count_rejected(t, status);
		else if (env->body_case == JJ__ENVELOPE__BODY_REPLY)
			reply_one(t, env->reply, now_ms);
	}
	if (count > 0)
		flush(t);
}

/* -- thread -------------------------------------------------------------- */

static void init_batch(struct fwd_batch *b)
{
	int i;

	for (i = 0; i < BATCH; i++) {
		b->in_iov[i].iov_base = b->in_data[i];
		b->in_iov[i].iov_len = sizeof(b->in_data[i]);
		b->in[i].msg_hdr.msg_iov = &b->in_iov[i];
		b->in[i].msg_hdr.msg_iovlen = 1;
		b->in[i].msg_hdr.msg_name = &b->in_addr[i];
		b->in[i].msg_hdr.msg_control = b->in_control[i];
		b->out_iov[i].iov_base = b->out_data[i];
		b->out[i].msg_hdr.msg_iov = &b->out_iov[i];
		b->out[i].msg_hdr.msg_iovlen = 1;
		b->out[i].msg_hdr.msg_name = &b->out_addr[i];
		b->out[i].msg_hdr.msg_namelen = sizeof(b->out_addr[i]);
	}
}

static int poll_once(struct fwd_thread *t)
{
	struct epoll_event events[64];
	const struct viw *view;
	int count = epoll_wait(t->epoll_fd, events, 64, POLL_TIMEOUT_MS);
	int i;

	rcu_read_lock();
	view = nod_view(t->fwd->nod);
	update_sockets(t, view);
	for (i = 0; i < count; i++) {
		struct fwd_service *service;

		if (events[i].data.u64 == DATA_SOCKET) {
			receive_from_agents(t);
			continue;
		}
		service = find_service(t, events[i].data.u64);
		if (service)
			receive_from_callers(t, view, service);
	}
	rcu_read_unlock();
	return count;
}

static void *run_forward(void *arg)
{
	struct fwd_thread *t = arg;
	int drain_rounds = DRAIN_ROUNDS_MAX;

	rcu_register_thread();
	init_batch(&t->batch);
	frm_arena_init(&t->arena);
	while (!t->fwd->stopping)
		poll_once(t);
	/* Forwards what is still in the socket buffers. */
	while (drain_rounds-- && poll_once(t) > 0)
		;
	rcu_unregister_thread();
	return NULL;
}

/* -- start and finish ---------------------------------------------------- */

static enum jj_status init_thread(struct fwd *fwd, uint32_t i,
				  struct jj_error *err)
{
	struct fwd_thread *t = &fwd->threads[i];

	t->fwd = fwd;
	t->logs_services = i == 0;
	t->service_capacity = fwd->nod->tbl.capacity;
	t->services = calloc(t->service_capacity, sizeof(*t->services));
	t->cells =
		calloc(map_cells_for(t->service_capacity), sizeof(*t->cells));
	t->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	t->data_fd =
		net_udp(fwd->desc.ip, fwd->desc.data_port, NET_REUSE_PORT, err);
	if (t->data_fd < 0)
		return JJ_SYSTEM;
	if (!t->services || !t->cells || t->epoll_fd < 0 ||
	    add_to_epoll(t, t->data_fd, DATA_SOCKET))
		return st_fail(err, JJ_SYSTEM, "forwarding thread: %s",
			       strerror(errno));
	map_init(&t->index, t->cells, map_cells_for(t->service_capacity));
	nod_lane_init(fwd->nod, &t->lane, NOD_LANE_WORKER + i);
	return JJ_OK;
}

enum jj_status fwd_init(struct fwd *fwd, const struct fwd_desc *desc,
			struct nod *nod, struct jj_error *err)
{
	uint32_t i;

	memset(fwd, 0, sizeof(*fwd));
	fwd->desc = *desc;
	fwd->nod = nod;
	if (rt_init(&fwd->rt, &desc->route) != JJ_OK)
		return st_fail(err, JJ_SYSTEM, "out of memory");
	fwd->threads = calloc(desc->threads, sizeof(*fwd->threads));
	if (!fwd->threads)
		return st_fail(err, JJ_SYSTEM, "out of memory");
	for (i = 0; i < desc->threads; i++) {
		enum jj_status status = init_thread(fwd, i, err);

		if (status != JJ_OK)
			return status;
	}
	return JJ_OK;
}

enum jj_status fwd_start(struct fwd *fwd, struct jj_error *err)
{
	uint32_t i;

	for (i = 0; i < fwd->desc.threads; i++)
		if (pthread_create(&fwd->threads[i].thread, NULL, run_forward,
				   &fwd->threads[i]))
			return st_fail(err, JJ_SYSTEM, "cannot start a thread");
	return JJ_OK;
}

void fwd_finish(struct fwd *fwd)
{
	uint32_t i;

	fwd->stopping = 1;
	for (i = 0; i < fwd->desc.threads; i++) {
		struct fwd_thread *t = &fwd->threads[i];
		uint32_t j;

		pthread_join(t->thread, NULL);
		for (j = 0; j < t->service_count; j++)
			close(t->services[j].fd);
		close(t->data_fd);
		close(t->epoll_fd);
		free(t->services);
		free(t->cells);
	}
	free(fwd->threads);
	rt_finish(&fwd->rt);
}
