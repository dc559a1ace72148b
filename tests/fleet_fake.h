/*
 * fleet_fake - simulated fleet of members and agents in one process
 *
 * Has a simulated clock, a queue of datagrams and any number of nodes. A node
 * is a member, and possibly an agent (struct agt) with a target. The test
 * decides when the target answers. Hosts and networks are not modelled: a
 * datagram is lost with a fixed probability or arrives after a delay. A paused
 * or stopped node drops what arrives and runs no timers.
 */
#ifndef TESTS_FLEET_FAKE_H
#define TESTS_FLEET_FAKE_H

#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "test_helpers.h"

extern "C" {
#include "jujube/agent.h"
#include "jujube/member.h"
#include "jujube/route.h"
#include "jujube/turn.h"
#include "jujube/view.h"
}

struct fake_fleet;

/* A datagram that reached a target. */
struct fake_delivery {
	std::string target;
	std::string data;
};

/* A member, with an agent if its role is agent. */
struct fake_node {
	fake_fleet *fleet = nullptr;
	std::string name;
	uint32_t ip = 0;
	struct mbr mbr = {};
	struct tbl tbl = {};
	struct viw *view = nullptr;
	struct agt *agt = nullptr;
	struct met met = {};
	bool dirty = true; /* the view must be rebuilt */
	bool up = true;
	bool paused = false;
	/* false while a restarted agent has not imported its old state */
	bool agent_ready = true;
	uint64_t bytes_out = 0;
	uint64_t pulls = 0; /* state transfers from peers */
	/* datagrams that the target has not answered: flow handle and bytes */
	std::vector<std::pair<uint32_t, std::string>> at_target;
	std::set<uint32_t> sockets; /* handles of flows with an open socket */
	std::map<uint32_t, uint16_t> ports; /* flow handle -> local port */
};

/* A control message or packet on its way to the node with address ip. */
struct fake_datagram {
	uint32_t ip;
	uint32_t from_ip;
	std::vector<uint8_t> bytes;
};

/* A reply that an agent sent to a balancer. */
struct fake_reply {
	uint64_t flow;
	uint64_t holder;
	std::string data;
};

struct fake_fleet {
	uint64_t now_us = 1000000000;
	std::mt19937_64 rng;
	double loss = 0; /* probability that a datagram is lost */
	uint64_t delay_us = 1000; /* minimum delay, the maximum is twice that */
	uint32_t probe_ms = 0; /* 0: default of mbr_desc, as the next two */
	uint32_t suspect_ms = 0;
	uint32_t gossip_ms = 0;
	std::multimap<uint64_t, fake_datagram> queue; /* by arrival time */
	std::vector<std::unique_ptr<fake_node>> nodes;
	std::vector<fake_reply> replies; /* sent to balancers */
	std::vector<fake_delivery> deliveries; /* sent to targets */
	uint64_t incarnations = 1000; /* last one assigned */
	/*
	 * Baseline for comparison: flow lists are dropped and every agent is
	 * treated as settled.
	 */
	bool plain_rendezvous = false;
	/* Datagrams for which it returns true are dropped; may be empty. */
	std::function<bool(uint32_t from, uint32_t to)> blocked;

	explicit fake_fleet(uint64_t seed) : rng(seed)
	{
	}
	~fake_fleet()
	{
		for (auto &node : nodes)
			finish(*node);
	}

	uint64_t now_ms() const
	{
		return now_us / 1000;
	}
	fake_node *node_by_ip(uint32_t ip)
	{
		for (auto &node : nodes)
			if (node->ip == ip)
				return node.get();
		return nullptr;
	}
	fake_node *node_by_id(uint64_t id)
	{
		for (auto &node : nodes)
			if (node->mbr.members && node->mbr.members[0].id == id)
				return node.get();
		return nullptr;
	}

	/* Queues a message from a node, unless it is lost or blocked. */
	void send_message(fake_node &from, uint32_t ip, Jj__Envelope *env)
	{
		fake_datagram datagram;

		env->sender = from.mbr.members[0].id;
		env->incarnation = from.mbr.members[0].incarnation;
		env->revision = from.tbl.revision;
		datagram.ip = ip;
		datagram.from_ip = from.ip;
		datagram.bytes.resize(jj__envelope__get_packed_size(env));
		jj__envelope__pack(env, datagram.bytes.data());
		from.bytes_out += datagram.bytes.size() + 16;
		if (std::uniform_real_distribution<>(0, 1)(rng) < loss)
			return;
		if (plain_rendezvous &&
		    env->body_case == JJ__ENVELOPE__BODY_FLOW_LIST)
			return;
		if (blocked && blocked(from.ip, ip))
			return;
		queue.emplace(now_us + delay_us + rng() % (delay_us + 1),
			      std::move(datagram));
	}

	/* -- members -- */

	/* Adds and starts a node; its seed is the first node. */
	fake_node &add(const std::string &name, Jj__Role role,
		       const std::string &centre, const std::string &service)
	{
		nodes.push_back(std::make_unique<fake_node>());
		fake_node &node = *nodes.back();

		node.fleet = this;
		node.name = name;
		node.ip = (uint32_t)(0x7f000001 + nodes.size());
		tbl_init(&node.tbl, 64);
		start(node, role, centre, service, JJ__PHASE__PHASE_JOINING);
		return node;
	}

	void start(fake_node &node, Jj__Role role, const std::string &centre,
		   const std::string &service, Jj__Phase phase)
	{
		struct mbr_desc desc = {};

		snprintf(desc.self.name, MBR_NAME_MAX, "%s", node.name.c_str());
		snprintf(desc.self.data_centre, MBR_NAME_MAX, "%s",
			 centre.c_str());
		snprintf(desc.self.service, MBR_NAME_MAX, "%s",
			 service.c_str());
		desc.self.role = role;
		desc.self.phase = role == JJ__ROLE__ROLE_AGENT ?
					  phase :
					  JJ__PHASE__PHASE_NONE;
		desc.self.ip = node.ip;
		desc.self.control_port = 1;
		desc.self.data_port = 2;
		desc.self.incarnation = ++incarnations;
		desc.capacity = 2048;
		desc.probe_ms = probe_ms;
		desc.suspect_ms = suspect_ms;
		desc.gossip_ms = gossip_ms;
		desc.random_seed = rng();
		if (nodes.size() > 1) {
			desc.seeds[0].ip = nodes[0]->ip;
			desc.seeds[0].port = 1;
			desc.seed_count = 1;
		}
		desc.hooks.send = on_send;
		desc.hooks.changed = on_changed;
		desc.hooks.newer_revision = on_newer_revision;
		desc.hooks.ctx = &node;
		(void)mbr_resolve(&desc, nullptr);
		(void)mbr_init(&node.mbr, &desc, now_ms());
		mbr_set_revision(&node.mbr, node.tbl.revision);
		node.up = true;
		node.dirty = true;
		if (role == JJ__ROLE__ROLE_AGENT)
			start_agent(node, service);
		rebuild_view(node);
	}

	void finish(fake_node &node)
	{
		stop(node);
		tbl_finish(&node.tbl);
	}

	/* Stops a node abruptly, as in a crash: the others are not notified. */
	void stop(fake_node &node)
	{
		if (!node.up && !node.mbr.members)
			return;
		node.up = false;
		viw_free(node.view);
		node.view = nullptr;
		mbr_finish(&node.mbr);
		if (node.agt) {
			agt_finish(node.agt);
			delete node.agt;
			node.agt = nullptr;
		}
		node.sockets.clear();
	}

	static void on_send(void *ctx, uint32_t ip, uint16_t port,
			    Jj__Envelope *env)
	{
		auto *node = static_cast<fake_node *>(ctx);

		(void)port;
		node->fleet->send_message(*node, ip, env);
	}
	static void on_changed(void *ctx, const struct mbr_member *member,
			       enum mbr_event event)
	{
		(void)member;
		(void)event;
		static_cast<fake_node *>(ctx)->dirty = true;
	}
	/*
	 * State transfers use a TCP connection, so loss does not apply: they
	 * succeed unless the peer is down, paused or blocked.
	 */
	static void on_newer_revision(void *ctx, uint32_t ip, uint16_t port,
				      uint64_t revision)
	{
		auto *node = static_cast<fake_node *>(ctx);
		fake_node *peer = node->fleet->node_by_ip(ip);

		(void)port;
		(void)revision;
		if (!peer || !peer->up || peer->paused)
			return;
		if (node->fleet->blocked && node->fleet->blocked(node->ip, ip))
			return;
		node->pulls++;
		pull(*node, *peer);
	}
	/* Merges the table of peer into that of node. */
	static void pull(fake_node &node, fake_node &peer)
	{
		size_t len = 0;
		uint8_t *packed = tbl_pack(&peer.tbl, node.tbl.revision, &len);
		Jj__Table *table = jj__table__unpack(nullptr, len, packed);

		if (tbl_merge(&node.tbl, table, nullptr) == JJ_OK)
			mbr_set_revision(&node.mbr, node.tbl.revision);
		node.dirty = true;
		jj__table__free_unpacked(table, nullptr);
		free(packed);
	}

	/* Applies a change at one node, as if the platform had accepted it. */
	void apply_change(fake_node &node, tbl_edit edit)
	{
		static int ids;
		tbl_edits edits = make_change(
			&edit, std::to_string(++ids).c_str(), "test");

		(void)tbl_apply(&node.tbl, &edits, nullptr);
		mbr_set_revision(&node.mbr, node.tbl.revision);
		node.dirty = true;
	}

	/* -- agents -- */

	static int on_open(void *ctx, uint32_t flow, uint16_t local_port)
	{
		auto *node = static_cast<fake_node *>(ctx);
		static uint16_t next_port = 20000;

		node->sockets.insert(flow);
		node->ports[flow] = local_port ? local_port : next_port++;
		return 0;
	}
	static uint16_t on_local_port(void *ctx, uint32_t flow)
	{
		return static_cast<fake_node *>(ctx)->ports[flow];
	}
	static void on_close(void *ctx, uint32_t flow)
	{
		static_cast<fake_node *>(ctx)->sockets.erase(flow);
	}
	static int on_to_target(void *ctx, uint32_t flow, const uint8_t *data,
				size_t len)
	{
		auto *node = static_cast<fake_node *>(ctx);
		std::string bytes((const char *)data, len);

		node->at_target.emplace_back(flow, bytes);
		node->fleet->deliveries.push_back({ node->name, bytes });
		return 0;
	}
	static void on_to_balancer(void *ctx, void *thread, uint32_t ip,
				   uint16_t port, Jj__Reply *reply)
	{
		auto *node = static_cast<fake_node *>(ctx);

		(void)thread;
		(void)ip;
		(void)port;
		node->fleet->replies.push_back(
			{ reply->flow, reply->holder,
			  std::string((const char *)reply->data.data,
				      reply->data.len) });
	}
	static void on_to_agent(void *ctx, void *thread,
				const struct viw_agent *agent,
				Jj__Packet *packet)
	{
		auto *node = static_cast<fake_node *>(ctx);
		Jj__Envelope env;

		(void)thread;
		jj__envelope__init(&env);
		env.body_case = JJ__ENVELOPE__BODY_PACKET;
		env.packet = packet;
		node->fleet->send_message(*node, agent->ip, &env);
	}
	static void on_control(void *ctx, void *thread,
			       const struct viw_agent *agent, Jj__Envelope *env)
	{
		auto *node = static_cast<fake_node *>(ctx);

		(void)thread;
		node->fleet->send_message(*node, agent->ip, env);
	}

	/* Changes the settings of an agent before it starts; may be empty. */
	std::function<void(struct agt_desc &)> adjust_agent;

	void start_agent(fake_node &node, const std::string &service)
	{
		struct agt_desc desc = {};
		uint64_t key = rng();

		snprintf(desc.service, sizeof(desc.service), "%s",
			 service.c_str());
		desc.id = node.mbr.members[0].id;
		desc.incarnation = node.mbr.members[0].incarnation;
		desc.slots = 5;
		desc.cold_slots = 5;
		desc.queue = 32;
		desc.max_flows = 256;
		desc.ledger_entries = 1024;
		memcpy(desc.echo_key, &key, sizeof(key));
		desc.hooks.open_socket = on_open;
		desc.hooks.local_port = on_local_port;
		desc.hooks.close_socket = on_close;
		desc.hooks.send_to_target = on_to_target;
		desc.hooks.send_to_balancer = on_to_balancer;
		desc.hooks.send_to_agent = on_to_agent;
		desc.hooks.send_control = on_control;
		desc.hooks.ctx = &node;
		desc.met = &node.met;
		if (adjust_agent)
			adjust_agent(desc);
		(void)agt_resolve(&desc, nullptr);
		node.agt = new struct agt;
		(void)agt_init(node.agt, &desc);
	}

	struct agt_call call(fake_node &node)
	{
		struct agt_call call = {};

		call.agt = node.agt;
		call.view = node.view;
		call.now = now_us;
		return call;
	}

	/* Answers all requests at a node's target, with code. */
	void answer_requests(fake_node &node, int code = COAP_CHANGED)
	{
		auto waiting = std::move(node.at_target);

		node.at_target.clear();
		for (auto &[flow, bytes] : waiting) {
			struct cx_msg msg;
			struct agt_call c = call(node);

			if (cx_parse((const uint8_t *)bytes.data(),
				     bytes.size(), &msg) != JJ_OK ||
			    msg.kind != CX_REQUEST)
				continue;
			coap_bytes answer(
				CX_ACK, code, msg.mid,
				std::string((char *)msg.token, msg.token_len));
			if (msg.observe == 0)
				answer.option(OPT_OBSERVE, "\1");
			answer.payload(node.name);
			agt_on_target_datagram(&c, flow, answer.data.data(),
					       answer.data.size());
		}
	}

	/* -- time -- */

	/* Rebuilds the node's view if the table or the members changed. */
	void rebuild_view(fake_node &node)
	{
		struct viw *old = node.view;

		if (!node.dirty)
			return;
		node.dirty = false;
		node.view = viw_build(&node.tbl, &node.mbr);
		viw_free(old);
		if (node.agt && node.agent_ready) {
			struct agt_call c = call(node);

			agt_view_changed(&c);
		}
	}
	void deliver(const fake_datagram &datagram)
	{
		fake_node *node = node_by_ip(datagram.ip);
		Jj__Envelope *env;

		if (!node || !node->up || node->paused)
			return;
		env = jj__envelope__unpack(nullptr, datagram.bytes.size(),
					   datagram.bytes.data());
		if (env->body_case == JJ__ENVELOPE__BODY_PACKET) {
			struct agt_call c = call(*node);

			if (node->agt && plain_rendezvous)
				node->agt->settled = 1;
			if (node->agt && node->agent_ready)
				agt_on_packet(&c, env->packet);
		} else {
			mbr_message(&node->mbr, now_ms(), datagram.from_ip, 1,
				    env);
			rebuild_view(*node);
			if (node->agt && node->agent_ready) {
				struct agt_call c = call(*node);

				agt_on_control(&c, env);
			}
		}
		jj__envelope__free_unpacked(env, nullptr);
	}
	/* Runs the timers of all nodes; settled agents become warm. */
	void tick()
	{
		for (auto &node : nodes) {
			if (!node->up || node->paused)
				continue;
			mbr_tick(&node->mbr, now_ms());
			rebuild_view(*node);
			if (node->agt && node->agent_ready) {
				struct agt_call c = call(*node);

				agt_tick(&c);
				if (node->mbr.members[0].phase ==
					    JJ__PHASE__PHASE_JOINING &&
				    node->mbr.live_count > 1 &&
				    (agt_settled(node->agt) ||
				     plain_rendezvous)) {
					mbr_set_phase(&node->mbr,
						      JJ__PHASE__PHASE_WARM);
					node->dirty = true;
				}
			}
		}
	}
	/* Advances the clock in steps of 20 ms and delivers what is due. */
	void run_ms(uint64_t ms)
	{
		uint64_t end = now_us + ms * 1000;

		while (now_us < end) {
			uint64_t step = now_us + 20000;

			while (!queue.empty() && queue.begin()->first <= step) {
				fake_datagram datagram =
					std::move(queue.begin()->second);

				now_us = std::max(now_us, queue.begin()->first);
				queue.erase(queue.begin());
				deliver(datagram);
			}
			now_us = step;
			tick();
		}
	}
	/* Runs until done() or for bound_ms; returns done(). */
	bool run_until(uint64_t bound_ms, const std::function<bool()> &done)
	{
		uint64_t end = now_us + bound_ms * 1000;

		while (!done() && now_us < end)
			run_ms(20);
		return done();
	}

	/* -- callers -- */

	/* Sends a datagram of a caller to an agent, as a balancer would. */
	uint64_t send_packet(fake_node &agent, uint16_t caller_port,
			     const std::vector<uint8_t> &data,
			     const char *service = "holds")
	{
		uint64_t id = rnk_name_id(service);
		Jj__Envelope env;
		Jj__Packet packet;
		std::vector<uint8_t> copy = data;

		jj__envelope__init(&env);
		jj__packet__init(&packet);
		packet.service = id;
		packet.caller_ip = 0x7f0a0001;
		packet.caller_port = caller_port;
		packet.flow = rt_flow_key(packet.caller_ip, caller_port, id);
		packet.via_ip = nodes[0]->ip;
		packet.via_port = 2;
		packet.via_id =
			nodes[0]->mbr.members ? nodes[0]->mbr.members[0].id : 0;
		packet.data.data = copy.data();
		packet.data.len = copy.size();
		env.body_case = JJ__ENVELOPE__BODY_PACKET;
		env.packet = &packet;
		send_message(*nodes[0], agent.ip, &env);
		return packet.flow;
	}
	/* Whether all live agents are settled, see agt_settled(). */
	bool all_settled()
	{
		for (auto &node : nodes)
			if (node->up && node->agt && !plain_rendezvous &&
			    !agt_settled(node->agt))
				return false;
		return true;
	}
};

static const Jj__Role BALANCER = JJ__ROLE__ROLE_BALANCER;

inline void add_balancers(fake_fleet &fleet, int count)
{
	for (int i = 0; i < count; i++)
		fleet.add("m" + std::to_string(i), BALANCER, "dc", "");
}

/*
 * Gives every node the full member list, which a joining member pulls from a
 * seed, and runs for 3 s.
 */
inline void exchange_member_lists(fake_fleet &fleet)
{
	for (auto &node : fleet.nodes) {
		std::vector<Jj__Member> members;
		std::vector<Jj__Member *> list;

		for (auto &other : fleet.nodes) {
			members.emplace_back();
			mbr_to_msg(&other->mbr.members[0], &members.back());
		}
		for (auto &member : members)
			list.push_back(&member);
		mbr_merge(&node->mbr, fleet.now_ms(), list.data(), list.size());
	}
	fleet.run_ms(3000);
}

#endif
