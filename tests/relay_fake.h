/*
 * relay_fake - a simulated fleet that relays flows
 *
 * Runs the product's balancers and agents in virtual time and without sockets,
 * with fake targets and callers. All share one table and one member list; an
 * agent can be kept on an older view.
 */
#ifndef TESTS_RELAY_FAKE_H
#define TESTS_RELAY_FAKE_H

#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "jujube/flow.h"
#include "jujube/relay.h"
}

static const uint64_t SECOND = 1000000; /* us */

/* Packet format of these tests. */
struct fake_packet {
	flw_packet head;
	uint32_t mark;
};

inline jj_status fake_packet_decode(const uint8_t *data, size_t len, int,
				    flw_packet *packet)
{
	if (len < sizeof(fake_packet))
		return JJ_MALFORMED;
	memcpy(packet, data, sizeof(*packet));
	return JJ_OK;
}

inline size_t fake_packet_reset(const flw_packet *of, uint32_t seq,
				uint8_t *buf, size_t size)
{
	fake_packet w = {};

	if (size < sizeof(w))
		return 0;
	w.head = *of;
	w.head.seq = seq;
	w.head.opens = w.head.acknowledges = 0;
	w.head.resets = 1;
	memcpy(buf, &w, sizeof(w));
	return sizeof(w);
}

inline uint32_t fake_packet_mark(const uint8_t *data)
{
	fake_packet w;

	memcpy(&w, data, sizeof(w));
	return w.mark;
}

inline void fake_packet_set_mark(uint8_t *data, uint32_t mark)
{
	memcpy(data + offsetof(fake_packet, mark), &mark, sizeof(mark));
}

inline void fake_packet_restore(uint8_t *data)
{
	fake_packet w;

	memcpy(&w, data, sizeof(w));
	w.mark = 0;
	w.head.returned = 0;
	memcpy(data, &w, sizeof(w));
}

struct relay_fleet;

/* A target: accepts all openings and answers requests after response_us. */
struct fake_target {
	struct flow {
		uint32_t isn;
		bool open;
		/* sequence number of the last request, valid if has_request */
		uint32_t request_seq;
		bool has_request;
	};
	std::map<uint64_t, flow> flows;
	/* packets of flows that it does not hold */
	std::map<uint64_t, int> misdelivered;
	std::vector<uint64_t> opening_times;
	bool silent = false;
	bool returns_openings = false;
	/*
	 * drops packets that don't match the flow it opened, else returns
	 * them
	 */
	bool drops_mismatched = false;
	uint64_t response_us = 10000;
	/* time that a request takes; null: response_us */
	std::function<uint64_t(const flw_packet &)> work;
	uint64_t handshake_us = 0; /* delay of the answer to an opening */
	uint32_t slots = 4;
	uint32_t running = 0;
	std::vector<fake_packet> queue;
};

struct relay_agent {
	std::string name;
	std::string service;
	std::string data_centre;
	std::unique_ptr<flw> core;
	std::unique_ptr<fake_target> target;
	std::shared_ptr<viw> view;
	std::unique_ptr<met> counters;
	bool alive = true;
	bool view_frozen = false; /* gets no new views */
	uint64_t seq = 0;
	relay_fleet *fleet = nullptr;
};

struct relay_balancer {
	std::string name;
	std::string data_centre;
	std::unique_ptr<rly> core;
	std::shared_ptr<viw> view;
};

struct fake_caller {
	flw_packet head; /* header of its next packet */
	bool open = false;
	bool reset = false;
	int answers = 0;
	uint64_t first_answer = 0;
	/* agent whose target's answer to the opening it accepted */
	std::string opened_by;
	std::string data_centre; /* empty: messages to it are never cut off */
};

struct relay_fleet {
	uint64_t now = 1000000;
	std::mt19937_64 rng;
	std::multimap<uint64_t, std::function<void()>> events;
	std::vector<std::unique_ptr<relay_agent>> agents;
	std::vector<std::unique_ptr<relay_balancer>> balancers;
	std::map<uint64_t, fake_caller> callers;
	tbl table = {};
	mbr members = {};
	std::shared_ptr<viw> view;
	std::vector<std::string> log;
	uint32_t delay_us = 1000;
	std::map<uint64_t, uint64_t> load_reports; /* sent, by agent id */
	/* to other data centres, by agent */
	std::map<std::string, uint64_t> remote_load_reports;
	/* messages to processes, by body case */
	std::map<int, uint64_t> messages_sent;
	bool lose_holdings = false; /* drop notifications of holders */
	bool lose_waiting = false; /* drop those of waiting openings */
	/* changes the settings of an agent that starts; may be empty */
	std::function<void(flw_desc &)> configure;
	/* called after a caller has received a packet */
	std::function<void(uint64_t key)> caller_changed;
	bool lose_load_reports = false;
	/* changes the time that a target needs for a request */
	std::function<uint64_t(uint64_t us)> on_service_time;
	uint32_t crossing_us = 0; /* added latency between data centres */
	std::set<std::string> cut; /* data centres without links to others */
	uint64_t load_report_bytes = 0; /* of all agents */
	bool delayed = false; /* value of flw_call.delayed */
	/* called for each live agent before flw_tick(); may be empty */
	std::function<void(relay_agent &)> on_tick;
	log_sink sink = { on_log, this };

	explicit relay_fleet(uint64_t seed) : rng(seed)
	{
		mbr_desc desc = {};

		EXPECT_TRUE(tbl_init(&table, 0));
		snprintf(desc.self.name, sizeof(desc.self.name), "observer");
		desc.self.incarnation = 1;
		desc.capacity = 512;
		desc.hooks.send = [](void *, uint32_t, uint16_t,
				     Jj__Envelope *) {};
		EXPECT_EQ(mbr_resolve(&desc, nullptr), JJ_OK);
		EXPECT_EQ(mbr_init(&members, &desc, 1), JJ_OK);
	}
	~relay_fleet()
	{
		for (auto &agent : agents)
			flw_finish(agent->core.get());
		for (auto &balancer : balancers)
			rly_finish(balancer->core.get());
		mbr_finish(&members);
		tbl_finish(&table);
	}
	static void on_log(void *ctx, log_event, log_level, const char *line)
	{
		((relay_fleet *)ctx)->log.push_back(line);
	}

	/* -- table and members -- */

	void set_rows(const char *source, std::vector<tbl_row> list)
	{
		tbl_update update;
		jj_error err;
		uint64_t revision = table.revision + 1;
		tbl_source item = { source, list.data(), (uint32_t)list.size(),
				    0, revision };

		EXPECT_EQ(tbl_replace_source(&table, &item, &update, &err),
			  JJ_OK)
			<< err.message;
		tbl_raise_revision(&table, revision);
		publish();
	}
	static tbl_row service_row(const char *name)
	{
		tbl_row row = {};

		row.kind = JJ__KIND__KIND_SERVICE;
		row.weight = 100;
		snprintf(row.name, sizeof(row.name), "%s", name);
		return row;
	}
	static tbl_row route_row(const char *name, const char *service,
				 const char *address)
	{
		tbl_row row = {};

		row.kind = JJ__KIND__KIND_ROUTE;
		row.weight = 100;
		row.target_latency_ms = 240;
		snprintf(row.name, sizeof(row.name), "%s.%s", name, service);
		snprintf(row.service, sizeof(row.service), "%s", service);
		snprintf(row.address, sizeof(row.address), "%s", address);
		return row;
	}
	static tbl_row with_terms(tbl_row row, uint32_t latency_ms,
				  uint32_t deadline_ms, uint32_t priority)
	{
		row.target_latency_ms = latency_ms;
		row.deadline_ms = deadline_ms;
		row.priority = priority;
		return row;
	}
	static tbl_row draining_row(const char *data_centre)
	{
		tbl_row row = {};

		row.kind = JJ__KIND__KIND_DATA_CENTRE;
		row.weight = 100;
		row.state = JJ__ROW_STATE__STATE_DRAINING;
		snprintf(row.name, sizeof(row.name), "%s", data_centre);
		return row;
	}
	static uint32_t ip_of(const std::string &name)
	{
		return 0x0a000000 |
		       (uint32_t)(rnk_name_id(name.c_str()) & 0xffffff);
	}
	void set_member(const std::string &name, Jj__Role role,
			const std::string &service, const std::string &centre,
			Jj__Phase phase, Jj__Liveness liveness)
	{
		const mbr_member *held =
			mbr_find(&members, rnk_name_id(name.c_str()));
		Jj__Member msg = JJ__MEMBER__INIT;
		Jj__Member *list = &msg;

		msg.id = rnk_name_id(name.c_str());
		msg.name = (char *)name.c_str();
		msg.role = role;
		msg.service = (char *)service.c_str();
		msg.data_centre = (char *)centre.c_str();
		msg.ip = ip_of(name);
		msg.control_port = 1;
		msg.data_port = 1;
		msg.incarnation = 1;
		msg.version = held ? held->version + 1 : 1;
		msg.phase = phase;
		msg.liveness = liveness;
		mbr_merge(&members, now / 1000, &list, 1);
	}
	void publish()
	{
		view = std::shared_ptr<viw>(viw_build(&table, &members),
					    viw_free);
		for (auto &agent : agents) {
			if (agent->view_frozen)
				continue;
			agent->view = view;
			if (agent->alive) {
				flw_call call = call_of(*agent);
				flw_view_changed(&call);
			}
		}
		for (auto &balancer : balancers)
			balancer->view = view;
	}
	/* The view of a process that starts now: it knows no removed rows. */
	std::shared_ptr<viw> view_without_history()
	{
		std::vector<tbl_row> rows;
		tbl_update update;
		tbl started = {};

		for (uint32_t i = 0; i < table.count; i++)
			if (table.rows[i].state != JJ__ROW_STATE__STATE_REMOVED)
				rows.push_back(table.rows[i]);
		tbl_source item = { "config", rows.data(),
				    (uint32_t)rows.size(), 0, table.revision };
		EXPECT_TRUE(tbl_init(&started, 0));
		EXPECT_EQ(tbl_replace_source(&started, &item, &update, nullptr),
			  JJ_OK);
		started.revision = table.revision;
		std::shared_ptr<viw> built(viw_build(&started, &members),
					   viw_free);
		tbl_finish(&started);
		return built;
	}
	relay_agent &add_agent(const std::string &name,
			       const std::string &service,
			       const std::string &centre)
	{
		agents.push_back(std::make_unique<relay_agent>());
		relay_agent &a = *agents.back();

		a.name = name;
		a.service = service;
		a.data_centre = centre;
		a.fleet = this;
		a.target = std::make_unique<fake_target>();
		start(a);
		heartbeat(a);
		publish_agent(a);
		return a;
	}
	void start(relay_agent &a)
	{
		flw_desc desc = {};

		a.core = std::make_unique<flw>();
		a.counters = std::make_unique<met>();
		snprintf(desc.service, sizeof(desc.service), "%s",
			 a.service.c_str());
		desc.id = rnk_name_id(a.name.c_str());
		desc.queue = 2;
		/* tests send heartbeats themselves */
		desc.heartbeat_ms = 1000000;
		desc.met = a.counters.get();
		desc.log = &sink;
		desc.codec = { fake_packet_decode, fake_packet_reset,
			       fake_packet_mark, fake_packet_set_mark,
			       fake_packet_restore };
		desc.hooks = { on_to_target,  on_to_caller, on_to_agent,
			       on_to_process, on_control,   &a };
		if (configure)
			configure(desc);
		EXPECT_EQ(flw_resolve(&desc, nullptr), JJ_OK);
		EXPECT_EQ(flw_init(a.core.get(), &desc, now), JJ_OK);
		flw_set_members_known(a.core.get());
		a.alive = true;
		a.view = view;
	}
	/*
	 * Restarts the target and the agent without state, the agent after the
	 * target's first missed heartbeats.
	 */
	void power_cycle(relay_agent &a, uint64_t missed)
	{
		a.target = std::make_unique<fake_target>();
		a.seq = missed;
		restart(a);
	}
	/* Ends the agent's process; its target keeps running. */
	void kill(relay_agent &a)
	{
		a.alive = false;
		flw_finish(a.core.get());
		a.core = std::make_unique<flw>();
		flw_desc none = {};
		EXPECT_EQ(flw_init(a.core.get(), &none, now), JJ_OK);
	}
	void restart(relay_agent &a)
	{
		flw_finish(a.core.get());
		start(a);
		heartbeat(a);
		publish_agent(a);
	}
	/* Restarts the agent before its target has sent a heartbeat. */
	void forget_target(relay_agent &a)
	{
		flw_finish(a.core.get());
		start(a);
		publish_agent(a);
	}
	flw_heartbeat make_heartbeat(const relay_agent &a)
	{
		flw_heartbeat message = {};

		snprintf(message.id, sizeof(message.id), "t-%s",
			 a.name.c_str());
		snprintf(message.service, sizeof(message.service), "%s",
			 a.service.c_str());
		message.started_ms = 100;
		message.slots = a.target->slots;
		return message;
	}
	void heartbeat(relay_agent &a, bool leaving = false,
		       uint32_t cold_ms = 0)
	{
		flw_heartbeat message = make_heartbeat(a);

		message.seq = ++a.seq;
		message.leaving = leaving;
		message.cold_ms = cold_ms;
		EXPECT_EQ(
			flw_on_heartbeat(a.core.get(), &message, now, nullptr),
			JJ_OK);
	}
	/*
	 * Updates the agent's phase and liveness in the member list and views.
	 */
	void publish_agent(relay_agent &a)
	{
		set_member(a.name, JJ__ROLE__ROLE_AGENT, a.service,
			   a.data_centre,
			   a.alive ? flw_phase(a.core.get(), now) :
				     JJ__PHASE__PHASE_WARM,
			   a.alive ? JJ__LIVENESS__LIVE_ALIVE :
				     JJ__LIVENESS__LIVE_DEAD);
		publish();
	}
	relay_balancer &add_balancer(const std::string &name,
				     const std::string &centre = "dc-a")
	{
		rt_desc desc = {};

		balancers.push_back(std::make_unique<relay_balancer>());
		relay_balancer &b = *balancers.back();
		b.name = name;
		b.data_centre = centre;
		b.core = std::make_unique<rly>();
		desc.max_flows = 1000;
		EXPECT_EQ(rly_init(b.core.get(), &desc), JJ_OK);
		b.core->data_centre = rnk_name_id(centre.c_str());
		set_member(name, JJ__ROLE__ROLE_BALANCER, "", centre,
			   JJ__PHASE__PHASE_NONE, JJ__LIVENESS__LIVE_ALIVE);
		publish();
		return b;
	}
	void restart(relay_balancer &b)
	{
		rt_desc desc = {};

		rly_finish(b.core.get());
		desc.max_flows = 1000;
		EXPECT_EQ(rly_init(b.core.get(), &desc), JJ_OK);
		b.core->data_centre = rnk_name_id(b.data_centre.c_str());
	}
	relay_agent *find_agent(uint64_t id)
	{
		for (auto &a : agents)
			if (rnk_name_id(a->name.c_str()) == id)
				return a.get();
		return nullptr;
	}

	/* -- time -- */

	void schedule(uint64_t delay, std::function<void()> what)
	{
		events.emplace(now + delay, std::move(what));
	}
	void run(uint64_t us)
	{
		uint64_t until = now + us;
		uint64_t tick = now;

		while (now < until) {
			if (!events.empty() &&
			    events.begin()->first <= std::min(tick, until)) {
				auto first = events.begin();
				auto what = std::move(first->second);

				now = std::max(now, first->first);
				events.erase(first);
				what();
				continue;
			}
			now = std::min(tick, until);
			tick += FLW_TICK_US;
			for (auto &a : agents) {
				flw_call call = call_of(*a);

				if (a->alive && on_tick)
					on_tick(*a);
				if (a->alive)
					flw_tick(&call);
			}
		}
	}
	flw_call call_of(relay_agent &a)
	{
		return { a.core.get(), nullptr, a.view.get(), now, delayed };
	}

	/* -- links -- */

	bool is_linked(const std::string &a, const std::string &b) const
	{
		return a == b || a.empty() || b.empty() ||
		       (!cut.count(a) && !cut.count(b));
	}
	uint32_t latency(const std::string &a, const std::string &b) const
	{
		return a == b || a.empty() || b.empty() ?
			       delay_us :
			       delay_us + crossing_us;
	}

	/* -- hooks -- */

	static void on_to_target(void *ctx, const uint8_t *data, size_t)
	{
		auto *a = (relay_agent *)ctx;
		fake_packet w;

		memcpy(&w, data, sizeof(w));
		a->fleet->schedule(
			50, [a, w] { a->fleet->on_target_packet(*a, w); });
	}
	static void on_to_caller(void *ctx, uint32_t, const uint8_t *data,
				 size_t)
	{
		auto *a = (relay_agent *)ctx;
		fake_packet w;

		memcpy(&w, data, sizeof(w));
		const std::string &centre =
			a->fleet->callers[flw_key(&w.head)].data_centre;
		if (!a->fleet->is_linked(a->data_centre, centre))
			return;
		a->fleet->schedule(
			a->fleet->latency(a->data_centre, centre),
			[a, w] { a->fleet->on_caller_packet(w, a->name); });
	}
	static void on_to_agent(void *ctx, void *, const struct viw_agent *to,
				Jj__Packet *packet)
	{
		auto *a = (relay_agent *)ctx;
		std::vector<uint8_t> packed(
			jj__packet__get_packed_size(packet));
		uint64_t id = to->id;

		jj__packet__pack(packet, packed.data());
		const relay_agent *peer = a->fleet->find_agent(id);
		const std::string centre = peer ? peer->data_centre : "";
		if (!a->fleet->is_linked(a->data_centre, centre))
			return;
		a->fleet->schedule(a->fleet->latency(a->data_centre, centre),
				   [a, id, packed] {
					   a->fleet->on_agent_packet(id,
								     packed);
				   });
	}
	static void on_to_process(void *ctx, void *, uint32_t ip, uint16_t,
				  Jj__Envelope *env)
	{
		auto *a = (relay_agent *)ctx;
		relay_fleet *fleet = a->fleet;
		uint64_t from = rnk_name_id(a->name.c_str());
		std::vector<uint8_t> packed(jj__envelope__get_packed_size(env));

		if (env->body_case == JJ__ENVELOPE__BODY_HOLDINGS &&
		    (fleet->lose_holdings ||
		     (fleet->lose_waiting && env->holdings->items[0]->waiting)))
			return;
		fleet->messages_sent[env->body_case]++;
		jj__envelope__pack(env, packed.data());
		const std::string centre = fleet->centre_of(ip);
		if (!fleet->is_linked(a->data_centre, centre))
			return;
		fleet->schedule(fleet->latency(a->data_centre, centre),
				[fleet, from, ip, packed] {
					fleet->on_process_message(from, ip,
								  packed);
				});
	}
	static void on_control(void *ctx, void *, const struct viw_agent *to,
			       Jj__Envelope *env)
	{
		auto *a = (relay_agent *)ctx;
		uint64_t from = rnk_name_id(a->name.c_str());
		uint64_t id = to->id;
		std::vector<uint8_t> packed(
			jj__load__get_packed_size(env->load));
		relay_agent *peer = a->fleet->find_agent(id);

		jj__load__pack(env->load, packed.data());
		a->fleet->load_reports[from]++;
		a->fleet->load_report_bytes +=
			jj__envelope__get_packed_size(env);
		if (to->data_centre != rnk_name_id(a->data_centre.c_str()))
			a->fleet->remote_load_reports[a->name]++;
		if (a->fleet->lose_load_reports || !peer ||
		    !a->fleet->is_linked(a->data_centre, peer->data_centre))
			return;
		a->fleet->schedule(
			a->fleet->latency(a->data_centre, peer->data_centre),
			[peer, from, packed] {
				if (peer->alive)
					peer->fleet->on_load_report(*peer, from,
								    packed);
			});
	}
	std::string centre_of(uint32_t ip) const
	{
		for (auto &b : balancers)
			if (ip_of(b->name) == ip)
				return b->data_centre;
		for (auto &a : agents)
			if (ip_of(a->name) == ip)
				return a->data_centre;
		return "";
	}
	void on_load_report(relay_agent &to, uint64_t from,
			    const std::vector<uint8_t> &packed)
	{
		Jj__Load *load =
			jj__load__unpack(NULL, packed.size(), packed.data());
		flw_call call = call_of(to);

		flw_on_load(&call, from, load);
		jj__load__free_unpacked(load, NULL);
	}

	/* -- arrivals -- */

	void on_agent_packet(uint64_t id, const std::vector<uint8_t> &packed)
	{
		relay_agent *a = find_agent(id);
		Jj__Packet *packet =
			jj__packet__unpack(NULL, packed.size(), packed.data());

		if (a && a->alive) {
			flw_call call = call_of(*a);
			flw_from_caller(&call, packet);
		}
		jj__packet__free_unpacked(packet, NULL);
	}
	void on_agent_message(relay_agent &a, uint64_t from, Jj__Envelope *env)
	{
		flw_call call = call_of(a);

		if (env->body_case == JJ__ENVELOPE__BODY_HOLDINGS)
			flw_on_holdings(&call, env->holdings);
		else if (env->body_case == JJ__ENVELOPE__BODY_INQUIRY)
			flw_on_inquiry(&call, env->inquiry);
		else if (env->body_case == JJ__ENVELOPE__BODY_INQUIRY_REPLY)
			flw_on_inquiry_reply(&call, from, env->inquiry_reply);
	}
	void on_process_message(uint64_t from, uint32_t ip,
				const std::vector<uint8_t> &packed)
	{
		Jj__Envelope *env = jj__envelope__unpack(NULL, packed.size(),
							 packed.data());
		bool holdings = env->body_case == JJ__ENVELOPE__BODY_HOLDINGS;

		for (auto &b : balancers)
			for (size_t i = 0; holdings && ip_of(b->name) == ip &&
					   i < env->holdings->n_items;
			     i++) {
				auto *item = env->holdings->items[i];
				auto *learn = item->waiting ?
						      rly_learn_waiting :
						      rly_learn;

				learn(b->core.get(), b->view.get(), item->flow,
				      item->holder, now / 1000);
			}
		for (auto &a : agents)
			if (ip_of(a->name) == ip && a->alive)
				on_agent_message(*a, from, env);
		jj__envelope__free_unpacked(env, NULL);
	}
	void send_from_target(relay_agent &a, fake_packet w)
	{
		if (!a.alive)
			return;
		flw_call call = call_of(a);
		flw_from_target(&call, (uint8_t *)&w, sizeof(w));
	}
	void on_target_packet(relay_agent &a, fake_packet w)
	{
		fake_target &t = *a.target;
		uint64_t key = flw_key(&w.head);
		auto held = t.flows.find(key);

		if (t.silent)
			return;
		if (w.head.opens) {
			if (t.returns_openings) {
				w.head.returned = 1;
				send_from_target(a, w);
				return;
			}
			t.opening_times.push_back(now);
			if (held == t.flows.end())
				t.flows[key] = { (uint32_t)rng(), false, 0,
						 false };
			w.head.acknowledges = 1;
			w.head.seq = t.flows[key].isn;
			schedule(t.handshake_us,
				 [this, &a, w] { send_from_target(a, w); });
			return;
		}
		if (held == t.flows.end() ||
		    (!held->second.open &&
		     w.head.ack != held->second.isn + 1)) {
			t.misdelivered[key]++;
			if (held != t.flows.end() && t.drops_mismatched)
				return;
			w.head.returned = 1;
			send_from_target(a, w);
			return;
		}
		held->second.open = true;
		/* A retransmitted request is not run again. */
		if (!w.head.payload || (held->second.has_request &&
					held->second.request_seq == w.head.seq))
			return;
		held->second.has_request = true;
		held->second.request_seq = w.head.seq;
		t.queue.push_back(w);
		serve_queue(a);
	}
	/* Starts queued requests while slots are free. */
	void serve_queue(relay_agent &a)
	{
		fake_target *t = a.target.get();

		if (t->running >= t->slots || t->queue.empty())
			return;
		fake_packet w = t->queue.front();
		t->queue.erase(t->queue.begin());
		t->running++;
		uint64_t us = t->work ? t->work(w.head) :
			      on_service_time ?
					on_service_time(t->response_us) :
					t->response_us;
		schedule(us, [this, &a, t, w]() mutable {
			if (a.target.get() != t)
				return;
			t->running--;
			w.head.acknowledges = 1;
			w.head.payload = 100;
			send_from_target(a, w);
			serve_queue(a);
		});
	}
	void on_caller_packet(const fake_packet &w, const std::string &from)
	{
		uint64_t key = flw_key(&w.head);
		fake_caller &c = callers[key];

		if (w.head.resets) {
			c.reset = true;
		} else if (w.head.opens) {
			if (c.open)
				return;
			c.open = true;
			c.opened_by = from;
			c.head.opens = 0;
			c.head.acknowledges = 1;
			c.head.ack = w.head.seq + 1;
			c.head.seq++;
		} else if (w.head.payload) {
			if (!c.answers++)
				c.first_answer = now;
		}
		if (caller_changed)
			caller_changed(key);
	}

	/* -- callers -- */

	uint64_t add_caller(uint32_t number, uint32_t ip = 0xc6120001,
			    uint16_t port = 443)
	{
		flw_packet head = {};

		head.caller_ip = 0x64400000 + number;
		head.caller_port = (uint16_t)(40000 + number % 1000);
		head.service_ip = ip;
		head.service_port = port;
		head.seq = (uint32_t)rng();
		head.opens = 1;
		callers[flw_key(&head)] = fake_caller{ head };
		return flw_key(&head);
	}
	/* Sends the caller's next packet through a balancer. */
	jj_status send(uint64_t key, size_t via)
	{
		relay_balancer &b = *balancers[via % balancers.size()];
		fake_caller &c = callers[key];
		fake_packet w = { c.head, 0 };
		rly_choice choice;
		Jj__Packet packet = JJ__PACKET__INIT;
		jj_status status = rly_pick(b.core.get(), b.view.get(), &c.head,
					    key, now / 1000, &choice);

		if (c.head.opens)
			c.head.repeat++;
		if (status != JJ_OK)
			return status;
		packet.service = choice.service->id;
		packet.flow = key;
		packet.caller_ip = c.head.caller_ip;
		packet.caller_port = c.head.caller_port;
		packet.via_id = rnk_name_id(b.name.c_str());
		packet.via_ip = ip_of(b.name);
		packet.via_port = 1;
		packet.to_agent = choice.agent->id;
		packet.data.data = (uint8_t *)&w;
		packet.data.len = sizeof(w);
		std::vector<uint8_t> packed(
			jj__packet__get_packed_size(&packet));
		jj__packet__pack(&packet, packed.data());
		uint64_t id = choice.agent->id;
		const relay_agent *agent = find_agent(id);
		const std::string centre = agent ? agent->data_centre : "";
		if (is_linked(b.data_centre, centre))
			schedule(latency(b.data_centre, centre),
				 [this, id, packed] {
					 on_agent_packet(id, packed);
				 });
		return JJ_OK;
	}
	/* Delivers a packet to an agent; mode is an enum flw_mode. */
	/* padding: further bytes of the packet */
	void deliver(size_t number, uint64_t key, fake_packet w, uint32_t mode,
		     size_t padding = 0)
	{
		Jj__Packet packet = JJ__PACKET__INIT;
		std::vector<uint8_t> data(sizeof(w) + padding);

		memcpy(data.data(), &w, sizeof(w));
		packet.service = rnk_name_id(agents[number]->service.c_str());
		packet.flow = key;
		packet.mode = mode;
		packet.via_id = rnk_name_id(balancers[0]->name.c_str());
		packet.via_ip = ip_of(balancers[0]->name);
		packet.via_port = 1;
		packet.data.data = data.data();
		packet.data.len = data.size();
		flw_call call = call_of(*agents[number]);
		flw_from_caller(&call, &packet);
	}
	jj_status request(uint64_t key, size_t via)
	{
		callers[key].head.payload = 50;
		jj_status status = send(key, via);
		callers[key].head.seq += 50;
		callers[key].head.payload = 0;
		return status;
	}
	relay_agent *holder(uint64_t key)
	{
		for (auto &a : agents)
			if (a->target->flows.count(key) &&
			    a->target->flows[key].open)
				return a.get();
		return nullptr;
	}
	/* Packets of the flow that reached targets that do not hold it. */
	int misdelivered(uint64_t key)
	{
		int sum = 0;

		for (auto &a : agents)
			if (a->target->misdelivered.count(key))
				sum += a->target->misdelivered[key];
		return sum;
	}
	size_t count_logged(const std::string &text)
	{
		size_t count = 0;

		for (auto &line : log)
			count += line.find(text) != std::string::npos;
		return count;
	}
};

/* Two data centres, n agents of service "desk", two balancers, one route. */
struct single_service_fleet : relay_fleet {
	explicit single_service_fleet(uint64_t seed, int n = 5)
	    : relay_fleet(seed)
	{
		set_rows("config",
			 { service_row("desk"),
			   route_row("r", "desk", "198.18.0.1:443") });
		add_balancer("balancer-1");
		add_balancer("balancer-2");
		for (int i = 0; i < n; i++)
			add_agent("agent-" + std::to_string(i), "desk",
				  i % 2 ? "dc-b" : "dc-a");
		run(100000);
	}
	/* Opens flows and completes the first request of each. */
	std::vector<uint64_t> open(int count, int first = 0)
	{
		std::vector<uint64_t> keys;

		for (int i = 0; i < count; i++) {
			keys.push_back(add_caller((uint32_t)(first + i)));
			send(keys.back(), (size_t)i);
			run(6000);
			request(keys.back(), (size_t)i);
			run(14000);
		}
		run(50000);
		return keys;
	}
};

#endif
