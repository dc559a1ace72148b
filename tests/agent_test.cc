/* Flow and request guarantees of the agent, under random failures. */
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "fleet_fake.h"

static const Jj__Role AGENT = JJ__ROLE__ROLE_AGENT;

/*
 * A fleet of one balancer and several agents of one service, which know each
 * other and are settled.
 */
struct service_fleet : fake_fleet {
	int next_agent = 0;

	service_fleet(uint64_t seed, int agents) : fake_fleet(seed)
	{
		add("balancer", BALANCER, "entry", "");
		add_service(&nodes[0]->tbl, "holds", "127.9.9.9:5683");
		mbr_set_revision(&nodes[0]->mbr, nodes[0]->tbl.revision);
		nodes[0]->dirty = true;
		for (int i = 0; i < agents; i++)
			add_agent();
		settle();
	}
	fake_node &add_agent()
	{
		std::string number = std::to_string(next_agent++);

		fake_node &node =
			add("agent-" + number, AGENT,
			    "dc-" + std::to_string(next_agent % 3), "holds");
		copy_members(node);
		return node;
	}
	bool settle()
	{
		bool done = run_until(30000, [&] {
			return all_settled() && all_views_equal() &&
			       none_joining();
		});

		run_ms(100);
		return done;
	}
	bool none_joining()
	{
		for (auto *agent : live_agents())
			if (agent->mbr.members[0].phase ==
			    JJ__PHASE__PHASE_JOINING)
				return false;
		return true;
	}
	/* True if all live nodes have the same view of the service. */
	bool all_views_equal()
	{
		uint64_t digest = 0;

		for (auto &node : nodes) {
			const struct viw_service *service;

			if (!node->up)
				continue;
			service = viw_service(node->view, rnk_name_id("holds"));
			if (!service)
				return false;
			if (digest && service->digest != digest)
				return false;
			digest = service->digest;
		}
		return true;
	}
	std::vector<fake_node *> live_agents()
	{
		std::vector<fake_node *> out;

		for (auto &node : nodes)
			if (node->up && node->agt)
				out.push_back(node.get());
		return out;
	}
	fake_node &random_agent()
	{
		auto agents = live_agents();

		return *agents[rng() % agents.size()];
	}
	void answer_all_requests()
	{
		for (auto *agent : live_agents())
			answer_requests(*agent);
	}
	/* Planned restart: the new process imports the state of the old one. */
	void restart(fake_node &node)
	{
		size_t len = 0;
		uint8_t *packed = agt_export(node.agt, now_us, &len);
		Jj__Handover *handover =
			jj__handover__unpack(nullptr, len, packed);
		std::string centre = node.mbr.members[0].data_centre;

		stop(node);
		run_ms(rng() % 1500);
		node.agent_ready = false;
		start(node, AGENT, centre, "holds", JJ__PHASE__PHASE_JOINING);
		/* as in the daemon, which gets the member list from a seed */
		copy_members(node);
		struct agt_call c = call(node);
		agt_import(&c, handover);
		node.agent_ready = true;
		agt_view_changed(&c);
		jj__handover__free_unpacked(handover, nullptr);
		free(packed);
	}
	/* Gives node the live members and the table of the balancer. */
	void copy_members(fake_node &node)
	{
		std::vector<Jj__Member> members;
		std::vector<Jj__Member *> list;
		struct mbr &from = nodes[0]->mbr;

		for (uint32_t i = 0; i < from.count; i++) {
			if (!mbr_live(&from.members[i]))
				continue;
			members.emplace_back();
			mbr_to_msg(&from.members[i], &members.back());
		}
		for (auto &member : members)
			list.push_back(&member);
		mbr_merge(&node.mbr, now_ms(), list.data(), list.size());
		pull(node, *nodes[0]);
		rebuild_view(node);
	}
	/* Stops an agent without handing over its state. */
	void crash(fake_node &node)
	{
		stop(node);
	}
	void restart_after_crash(fake_node &node)
	{
		start(node, AGENT, "dc-1", "holds", JJ__PHASE__PHASE_JOINING);
		copy_members(node);
	}
};

static std::vector<uint8_t> coap_get(uint16_t mid, const std::string &token,
				     bool observe = false)
{
	coap_bytes bytes(CX_CON, COAP_GET, mid, token);

	if (observe)
		bytes.option(OPT_OBSERVE, "");
	bytes.option(OPT_PATH, "feed");
	return bytes.data;
}

static std::vector<uint8_t> coap_post(uint16_t mid, const std::string &token,
				      const std::string &id,
				      const std::string &echo = "",
				      const std::string &query = "")
{
	coap_bytes bytes(CX_CON, COAP_POST, mid, token);

	bytes.option(OPT_PATH, "holds");
	if (!query.empty())
		bytes.option(OPT_QUERY, query);
	if (!echo.empty())
		bytes.option(OPT_ECHO, echo);
	bytes.payload(id);
	return bytes.data;
}

static struct cx_msg parse(const std::string &data)
{
	struct cx_msg msg = {};

	EXPECT_EQ(cx_parse((const uint8_t *)data.data(), data.size(), &msg),
		  JJ_OK);
	return msg;
}

static std::string payload_of(const std::string &data)
{
	/* the last 0xff, since an Echo value may contain that byte too */
	size_t at = data.rfind('\xff');

	return at == std::string::npos ? "" : data.substr(at + 1);
}

/* -- 1: established flows survive any planned change --------------------- */

/*
 * Opens flows, then makes random planned changes while every flow keeps
 * sending to random agents, as balancers with different views would. Returns
 * how many requests reached a target other than the flow's. mechanism: false
 * for the baseline, see fake_fleet::plain_rendezvous.
 */
static int misrouted_after_changes(uint64_t seed, int changes,
				   bool mechanism = true)
{
	service_fleet fleet(seed, 5);
	std::map<uint16_t, std::string> targets;
	int misrouted = 0;
	uint16_t mid = 1;

	fleet.plain_rendezvous = !mechanism;
	for (uint16_t port = 1000; port < 1060; port++) {
		fleet.deliveries.clear();
		fleet.send_packet(fleet.random_agent(), port,
				  coap_get(mid++, "f", true));
		fleet.run_ms(100);
		EXPECT_EQ(fleet.deliveries.size(), 1u);
		if (fleet.deliveries.size() == 1)
			targets[port] = fleet.deliveries[0].target;
		fleet.answer_all_requests();
	}
	for (int i = 0; i < changes; i++) {
		auto agents = fleet.live_agents();
		fake_node &agent = *agents[fleet.rng() % agents.size()];

		switch (fleet.rng() % 5) {
		case 0:
			if (agents.size() < 9)
				fleet.add_agent();
			break;
		case 1:
			fleet.restart(agent);
			break;
		case 2: { /* change a weight */
			tbl_edit edit = make_state_edit(
				JJ__KIND__KIND_TARGET, agent.name.c_str(),
				JJ__ROW_STATE__STATE_IN, TBL_ANY_REVISION);
			edit.fields = TBL_WEIGHT;
			edit.row.weight = fleet.rng() % 3 * 100 + 20;
			fleet.apply_change(*fleet.nodes[0], edit);
			break;
		}
		case 3:
			fleet.apply_change(
				*fleet.nodes[0],
				make_state_edit(
					JJ__KIND__KIND_TARGET,
					agent.name.c_str(),
					fleet.rng() % 2 ?
						JJ__ROW_STATE__STATE_DRAINING :
						JJ__ROW_STATE__STATE_IN,
					TBL_ANY_REVISION));
			break;
		case 4:
			mbr_set_phase(&agent.mbr, JJ__PHASE__PHASE_COLD);
			agent.dirty = true;
			break;
		}
		/* the change may not have reached all nodes yet */
		for (auto &[port, target] : targets) {
			fleet.deliveries.clear();
			fleet.send_packet(fleet.random_agent(), port,
					  coap_get(mid++, std::to_string(mid)));
			fleet.run_ms(fleet.rng() % 3 * 20 + 60);
			for (auto &delivery : fleet.deliveries)
				misrouted += delivery.target != target;
			fleet.answer_all_requests();
		}
		fleet.settle();
	}
	return misrouted;
}

TEST(Flows, SurvivePlannedChangesFromAnyBalancersView)
{
	for (uint64_t seed = 1; seed <= 12; seed++)
		EXPECT_EQ(misrouted_after_changes(seed, 6), 0)
			<< "seed " << seed;
}

/* Baseline: rendezvous hashing without flow lists and settling breaks flows. */
TEST(Flows, BreakWithPlainRendezvous)
{
	int misrouted = 0;

	for (uint64_t seed = 1; seed <= 4; seed++)
		misrouted += misrouted_after_changes(seed, 6, false);
	EXPECT_GT(misrouted, 0);
}

TEST(Flows, ADeadHoldersFlowsOpenElsewhereAndOthersStay)
{
	service_fleet fleet(77, 5);
	std::map<uint16_t, std::string> targets;

	for (uint16_t port = 1000; port < 1050; port++) {
		fleet.deliveries.clear();
		fleet.send_packet(fleet.random_agent(), port,
				  coap_get(port, "f"));
		fleet.run_ms(100);
		ASSERT_EQ(fleet.deliveries.size(), 1u);
		targets[port] = fleet.deliveries[0].target;
		fleet.answer_all_requests();
	}
	std::string dead = fleet.nodes[2]->name;
	fleet.crash(*fleet.nodes[2]);
	fleet.run_ms(8000);
	ASSERT_TRUE(fleet.settle());
	for (auto &[port, target] : targets) {
		fleet.deliveries.clear();
		fleet.send_packet(fleet.random_agent(), port,
				  coap_get(port + 500, "g"));
		fleet.run_ms(200);
		ASSERT_EQ(fleet.deliveries.size(), 1u) << port;
		if (target != dead)
			EXPECT_EQ(fleet.deliveries[0].target, target);
		else
			EXPECT_NE(fleet.deliveries[0].target, dead);
		fleet.answer_all_requests();
	}
}

/* -- 2: no packet reaches a target of another service -------------------- */

TEST(Service, PacketsOfAStaleBalancerForAnotherServiceAreDropped)
{
	service_fleet fleet(5, 3);
	uint64_t before;

	add_service(&fleet.nodes[0]->tbl, "reports", "127.9.9.8:5683");
	mbr_set_revision(&fleet.nodes[0]->mbr, fleet.nodes[0]->tbl.revision);
	fleet.nodes[0]->dirty = true;
	fake_node &other_agent = fleet.add("agent-r", AGENT, "dc-1", "reports");
	fleet.run_ms(5000);
	before = fleet.deliveries.size();
	/* as a balancer that still has the agent listed under "holds" */
	for (uint16_t port = 1; port < 100; port++)
		fleet.send_packet(other_agent, port, coap_get(port, "t"),
				  "holds");
	fleet.run_ms(1000);
	for (size_t i = before; i < fleet.deliveries.size(); i++)
		EXPECT_NE(fleet.deliveries[i].target, "agent-r");
	EXPECT_EQ(met_get(&other_agent.met, MET_WRONG_SERVICE), 99u);
	EXPECT_EQ(met_get(&other_agent.met, MET_SAFE), 0u);
}

/* -- 4: a data centre that is out ---------------------------------------- */

TEST(OutOfService, NothingIsDeliveredAndObserversAreNotified)
{
	service_fleet fleet(6, 6);
	std::set<std::string> out_targets;

	for (uint16_t port = 1; port <= 60; port++)
		fleet.send_packet(fleet.random_agent(), port,
				  coap_get(port, "f", true));
	fleet.run_ms(1000);
	/* there are more observations than slots, so they start in batches */
	for (int i = 0; i < 20; i++) {
		fleet.answer_all_requests();
		fleet.run_ms(50);
	}
	fleet.apply_change(*fleet.nodes[0],
			   make_state_edit(JJ__KIND__KIND_DATA_CENTRE, "dc-1",
					   JJ__ROW_STATE__STATE_OUT, 0));
	fleet.replies.clear();
	ASSERT_TRUE(fleet.run_until(3000, [&] {
		for (auto *agent : fleet.live_agents())
			if (agent->tbl.revision < fleet.nodes[0]->tbl.revision)
				return false;
		return true;
	}));
	fleet.run_ms(200);
	int notified = 0;
	for (auto &reply : fleet.replies)
		notified += payload_of(reply.data) == "feed ended";
	EXPECT_GT(notified, 0);
	fleet.deliveries.clear();
	for (uint16_t port = 1; port <= 60; port++)
		for (auto *agent : fleet.live_agents())
			fleet.send_packet(*agent, port,
					  coap_get(port + 100, "g"));
	fleet.run_ms(1000);
	for (auto &delivery : fleet.deliveries)
		EXPECT_STRNE(fleet.nodes[0]->mbr.members[0].name,
			     delivery.target.c_str());
	for (auto *agent : fleet.live_agents()) {
		bool out = !strcmp(agent->mbr.members[0].data_centre, "dc-1");
		for (auto &delivery : fleet.deliveries)
			if (out)
				EXPECT_NE(delivery.target, agent->name);
		if (out)
			EXPECT_EQ(agent->sockets.size(), 0u);
	}
}

/* -- 6 and 7: run at most once, and "not run" only if never run ---------- */

/*
 * An unsafe request of a caller, as in RFC 7252 and 9175: sent without an Echo
 * value, then with the first one received. Copies of both may reach any agent
 * at any time.
 */
struct unsafe_request {
	uint16_t port;
	std::string token;
	std::string id;
	std::string echo;
	std::vector<std::vector<uint8_t>> copies;
	bool not_run = false;
	bool done = false;
	bool unknown = false;
};

struct unsafe_result {
	int duplicated = 0; /* run more than once */
	int false_refusals = 0; /* answered "not run", but run */
	int done = 0;
	int lost = 0; /* answered with success, but never run */
};

enum injected_faults {
	NO_FAULTS = 0,
	CRASHES = 1,
	RESTARTS = 2,
	PAUSES = 4,
	SMALL_QUEUE = 8,
};

static void read_replies(service_fleet &fleet,
			 std::vector<unsafe_request> &requests)
{
	for (auto &reply : fleet.replies) {
		struct cx_msg msg = parse(reply.data);

		for (auto &request : requests) {
			if (reply.flow != rt_flow_key(0x7f0a0001, request.port,
						      rnk_name_id("holds")) ||
			    request.token != std::string((char *)msg.token,
							 msg.token_len))
				continue;
			if (msg.code == CX_UNAUTHORIZED &&
			    request.echo.empty()) {
				request.echo = std::string((char *)msg.echo,
							   msg.echo_len);
				request.copies.push_back(
					coap_post((uint16_t)(request.port + 1),
						  request.token, request.id,
						  request.echo));
			}
			request.done |= msg.code == COAP_CHANGED;
			request.not_run |= payload_of(reply.data) == "not run";
			request.unknown |=
				payload_of(reply.data) == "outcome unknown";
		}
	}
	fleet.replies.clear();
}

static unsafe_result run_unsafe_requests(uint64_t seed, int faults)
{
	service_fleet fleet(seed, 4);
	std::vector<unsafe_request> requests;
	std::map<std::string, int> run_counts;
	unsafe_result result;
	fake_node *paused = nullptr;

	fleet.loss = 0.05;
	for (int i = 0; i < 60; i++) {
		unsafe_request request;

		/* three requests per port, so flows carry several requests */
		request.port = (uint16_t)(100 + i % 20);
		request.token = std::string(1, (char)('a' + i / 20));
		request.id = "id-" + std::to_string(i);
		request.copies.push_back(coap_post((uint16_t)(1000 + i),
						   request.token, request.id));
		requests.push_back(request);
	}
	for (int round = 0; round < 400; round++) {
		unsafe_request &request =
			requests[fleet.rng() % requests.size()];

		/* an old or new copy, to a random agent */
		fleet.send_packet(
			fleet.random_agent(), request.port,
			request.copies[fleet.rng() % request.copies.size()]);
		if (round % 3 == 0)
			fleet.run_ms(20);
		if (fleet.rng() % 4 == 0)
			fleet.answer_requests(fleet.random_agent());
		if (round % 80 == 40) {
			auto agents = fleet.live_agents();
			fake_node &agent = *agents[fleet.rng() % agents.size()];

			if (faults & CRASHES && agents.size() > 2) {
				fleet.crash(agent);
				fleet.run_ms(fleet.rng() % 6000);
				fleet.restart_after_crash(agent);
			} else if (faults & RESTARTS) {
				fleet.restart(agent);
			} else if (faults & PAUSES) {
				if (paused)
					paused->paused = false;
				paused = &agent;
				agent.paused = true;
			}
		}
		read_replies(fleet, requests);
	}
	if (paused)
		paused->paused = false;
	for (int round = 0; round < 50; round++) {
		for (auto &request : requests) /* late copies */
			fleet.send_packet(
				fleet.random_agent(), request.port,
				request.copies[fleet.rng() %
					       request.copies.size()]);
		fleet.run_ms(100);
		fleet.answer_all_requests();
		read_replies(fleet, requests);
	}
	for (auto &delivery : fleet.deliveries)
		run_counts[payload_of(delivery.data)]++;
	for (auto &request : requests) {
		result.duplicated += run_counts[request.id] > 1;
		result.false_refusals +=
			request.not_run && run_counts[request.id] > 0;
		result.done += request.done;
		result.lost += request.done && run_counts[request.id] == 0;
	}
	return result;
}

static void expect_at_most_once(int faults, int seeds)
{
	for (uint64_t seed = 1; seed <= (uint64_t)seeds; seed++) {
		unsafe_result result = run_unsafe_requests(seed, faults);

		EXPECT_EQ(result.duplicated, 0) << "seed " << seed;
		EXPECT_EQ(result.false_refusals, 0) << "seed " << seed;
		EXPECT_EQ(result.lost, 0) << "seed " << seed;
		EXPECT_GT(result.done, 20) << "seed " << seed;
	}
}

TEST(UnsafeRequests, AtMostOnceWithCopiesOnAllAgents)
{
	expect_at_most_once(NO_FAULTS, 10);
}

TEST(UnsafeRequests, AtMostOnceWhileAgentsCrashAndComeBack)
{
	expect_at_most_once(CRASHES, 10);
}

TEST(UnsafeRequests, AtMostOnceWhileAgentsAreRestarted)
{
	expect_at_most_once(RESTARTS, 10);
}

TEST(UnsafeRequests, AtMostOnceWhileAgentsArePaused)
{
	expect_at_most_once(PAUSES, 10);
}

/* A fleet with a single agent, and helpers for requests to it. */
struct single_agent_fleet : service_fleet {
	uint16_t mid = 50;

	single_agent_fleet() : service_fleet(1, 1)
	{
	}
	fake_node &agent()
	{
		return *nodes[1];
	}
	std::string last_payload()
	{
		return replies.empty() ? "-" : payload_of(replies.back().data);
	}
	/* Sends a request without Echo; returns the Echo value received. */
	std::string request_echo(uint16_t port, const std::string &token,
				 const std::string &id)
	{
		replies.clear();
		send_packet(agent(), port, ::coap_post(mid++, token, id));
		run_ms(20);
		EXPECT_EQ(replies.size(), 1u);
		struct cx_msg msg = parse(replies.back().data);
		return std::string((char *)msg.echo, msg.echo_len);
	}
	size_t count_deliveries(const std::string &id)
	{
		size_t count = 0;

		for (auto &delivery : deliveries)
			count += payload_of(delivery.data) == id;
		return count;
	}
};

TEST(UnsafeRequests, ARefusalIsRepeatedForALateCopy)
{
	single_agent_fleet fleet;
	std::vector<std::pair<std::vector<uint8_t>, uint16_t>> sent;

	/* 5 are in flight, 32 are queued, the others are refused */
	for (uint16_t i = 0; i < 45; i++) {
		std::string id = "id" + std::to_string(i);
		std::string echo = fleet.request_echo(i + 1, "t", id);
		auto bytes = coap_post(fleet.mid++, "t", id, echo);

		sent.emplace_back(bytes, i + 1);
		fleet.replies.clear();
		fleet.send_packet(fleet.agent(), i + 1, bytes);
		fleet.run_ms(20);
		if (i >= 37)
			EXPECT_EQ(fleet.last_payload(), "not run") << i;
	}
	for (int i = 0; i < 20; i++) {
		fleet.answer_all_requests();
		fleet.run_ms(20);
	}
	EXPECT_EQ(fleet.count_deliveries("id5"), 1u);
	for (uint16_t i = 37; i < 45; i++) {
		fleet.send_packet(fleet.agent(), sent[i].second, sent[i].first);
		fleet.run_ms(300 * 1000 / 8);
		EXPECT_EQ(fleet.last_payload(), "not run");
		EXPECT_EQ(fleet.count_deliveries("id" + std::to_string(i)), 0u);
	}
}

TEST(UnsafeRequests, AFullLedgerAnswersTryLaterAndKeepsItsEntries)
{
	single_agent_fleet fleet;
	int refused = 0, later = 0;
	std::string first_echo;

	/* 1024 entries in 8 shards; the one flow uses one shard: 129 entries */
	for (int i = 0; i < 200; i++) {
		std::string id = "id" + std::to_string(i);
		std::string echo = fleet.request_echo(9, std::to_string(i), id);

		if (!i)
			first_echo = echo;
		fleet.send_packet(
			fleet.agent(), 9,
			coap_post(fleet.mid++, std::to_string(i), id, echo));
		fleet.run_ms(20);
		refused += fleet.last_payload() == "not run";
		later += fleet.last_payload() == "try later";
		fleet.answer_all_requests();
		fleet.run_ms(20);
	}
	EXPECT_EQ(refused, 0);
	EXPECT_EQ(later, 200 - 129);
	/* the first request is still in the ledger */
	fleet.send_packet(fleet.agent(), 9,
			  coap_post(7, "0", "id0", first_echo));
	fleet.run_ms(20);
	EXPECT_EQ(fleet.last_payload(), "agent-0");
	EXPECT_EQ(fleet.count_deliveries("id0"), 1u);
}

/*
 * A request without Echo that arrives twice gets two Echo values. libcoap then
 * repeats it with each value, each time under a new token; it must run once.
 */
TEST(UnsafeRequests, TwoEchoesOfOneRequestRunItOnce)
{
	single_agent_fleet fleet;
	std::string first = fleet.request_echo(1, "t", "x");
	fleet.run_ms(1100); /* the second has another time of issue */
	std::string second = fleet.request_echo(1, "t", "x");

	ASSERT_NE(first, second);
	fleet.send_packet(fleet.agent(), 1, coap_post(1, "t-1", "x", first));
	fleet.send_packet(fleet.agent(), 1, coap_post(2, "t-02", "x", second));
	fleet.run_ms(50);
	EXPECT_EQ(fleet.count_deliveries("x"), 1u);
	fleet.answer_all_requests();
	fleet.replies.clear();
	fleet.send_packet(fleet.agent(), 1, coap_post(2, "t-02", "x", second));
	fleet.run_ms(50);
	EXPECT_EQ(fleet.count_deliveries("x"), 1u);
	ASSERT_EQ(fleet.replies.size(), 1u);
	struct cx_msg msg = parse(fleet.replies[0].data);
	EXPECT_EQ(std::string((char *)msg.token, msg.token_len), "t-02");
	EXPECT_EQ(msg.mid, 2);
	EXPECT_EQ(fleet.last_payload(), "agent-0");
	/* the same content with an unrelated token is a new request */
	std::string second_echo = fleet.request_echo(1, "u", "x");
	fleet.send_packet(fleet.agent(), 1,
			  coap_post(9, "u-1", "x", second_echo));
	fleet.run_ms(50);
	EXPECT_EQ(fleet.count_deliveries("x"), 2u);
}

TEST(UnsafeRequests, EchoOfAnotherFlowOrForgedRunsNothing)
{
	single_agent_fleet fleet;
	std::string echo = fleet.request_echo(1, "t", "x");

	fleet.send_packet(fleet.agent(), 2, coap_post(1, "t", "x", echo));
	std::string forged = echo;
	forged[39] ^= 1;
	fleet.send_packet(fleet.agent(), 1, coap_post(2, "t", "x", forged));
	fleet.run_ms(50);
	EXPECT_EQ(fleet.count_deliveries("x"), 0u);
	fleet.send_packet(fleet.agent(), 1, coap_post(3, "t", "x", echo));
	fleet.run_ms(50);
	EXPECT_EQ(fleet.count_deliveries("x"), 1u);
}

TEST(UnsafeRequests, NoAnswerByTheDeadlineIsUnknownAndTheLateAnswerStillComes)
{
	single_agent_fleet fleet;
	std::string echo = fleet.request_echo(1, "t", "x");

	fleet.send_packet(fleet.agent(), 1, coap_post(1, "t", "x", echo));
	fleet.run_ms(31000);
	EXPECT_EQ(fleet.last_payload(), "outcome unknown");
	fleet.send_packet(fleet.agent(), 1, coap_post(1, "t", "x", echo));
	fleet.run_ms(50);
	EXPECT_EQ(fleet.count_deliveries("x"), 1u);
	EXPECT_EQ(fleet.last_payload(), "outcome unknown");
	fleet.answer_all_requests();
	EXPECT_EQ(fleet.last_payload(), "agent-0");
}

TEST(UnsafeRequests, QueuedPastItsDeadlineIsRefusedAndNeverRun)
{
	single_agent_fleet fleet;
	std::string echo;

	for (uint16_t i = 0; i < 5; i++) {
		fleet.send_packet(fleet.agent(), i + 1, coap_get(i, "busy"));
		fleet.run_ms(20);
	}
	echo = fleet.request_echo(9, "t", "x");
	auto bytes = coap_post(9, "t", "x", echo, "deadline_ms=900");
	fleet.send_packet(fleet.agent(), 9, bytes);
	fleet.run_ms(800);
	EXPECT_NE(fleet.last_payload(), "not run");
	fleet.run_ms(200);
	EXPECT_EQ(fleet.last_payload(), "not run");
	fleet.answer_all_requests();
	fleet.run_ms(100);
	fleet.send_packet(fleet.agent(), 9, bytes);
	fleet.run_ms(50);
	EXPECT_EQ(fleet.last_payload(), "not run");
	EXPECT_EQ(fleet.count_deliveries("x"), 0u);
}

TEST(UnsafeRequests, ACrashedAgentsEchoIsAnsweredUnknown)
{
	service_fleet fleet(3, 3);
	std::string echo;

	fleet.send_packet(*fleet.nodes[1], 7, coap_post(1, "t", "x"));
	fleet.run_ms(100);
	ASSERT_EQ(fleet.replies.size(), 1u);
	struct cx_msg msg = parse(fleet.replies[0].data);
	echo = std::string((char *)msg.echo, msg.echo_len);
	fake_node *issuer = fleet.node_by_id(fleet.replies[0].holder);
	ASSERT_NE(issuer, nullptr);
	fleet.crash(*issuer);
	fleet.run_ms(10000);
	fleet.settle();
	fleet.replies.clear();
	fleet.send_packet(fleet.random_agent(), 7,
			  coap_post(2, "t", "x", echo));
	fleet.run_ms(300);
	ASSERT_FALSE(fleet.replies.empty());
	EXPECT_EQ(payload_of(fleet.replies.back().data), "outcome unknown");
	fleet.restart_after_crash(*issuer);
	fleet.settle();
	fleet.send_packet(fleet.random_agent(), 7,
			  coap_post(3, "t", "x", echo));
	fleet.run_ms(300);
	EXPECT_EQ(payload_of(fleet.replies.back().data), "outcome unknown");
	EXPECT_TRUE(fleet.deliveries.empty());
}

/* -- 8: a draining target gets no new work ------------------------------- */

TEST(Draining, NewFlowsAndUnsafeRequestsGoElsewhereHeldFlowsStay)
{
	service_fleet fleet(11, 4);
	fake_node *draining = nullptr;

	fleet.send_packet(*fleet.nodes[1], 7, coap_get(1, "feed", true));
	fleet.run_ms(100);
	ASSERT_EQ(fleet.deliveries.size(), 1u);
	fleet.answer_all_requests();
	for (auto *agent : fleet.live_agents())
		if (agent->name == fleet.deliveries[0].target)
			draining = agent;
	ASSERT_NE(draining, nullptr);
	fleet.apply_change(*fleet.nodes[0],
			   make_state_edit(JJ__KIND__KIND_TARGET,
					   draining->name.c_str(),
					   JJ__ROW_STATE__STATE_DRAINING, 0));
	fleet.run_ms(4000);
	fleet.deliveries.clear();
	fleet.replies.clear();
	for (uint16_t port = 100; port < 140; port++)
		fleet.send_packet(*draining, port,
				  coap_get(port, "n")); /* stale balancer */
	fleet.send_packet(*draining, 7, coap_post(2, "h", "x"));
	fleet.run_ms(500);
	std::string echo;
	for (auto &reply : fleet.replies) {
		struct cx_msg msg = parse(reply.data);

		if (msg.code == CX_UNAUTHORIZED)
			echo = std::string((char *)msg.echo, msg.echo_len);
	}
	fleet.send_packet(*draining, 7, coap_post(3, "h", "x", echo));
	for (int i = 0; i < 10; i++) {
		fleet.run_ms(100);
		fleet.answer_all_requests();
	}
	int unsafe_count = 0;
	for (auto &delivery : fleet.deliveries) {
		EXPECT_NE(delivery.target, draining->name);
		unsafe_count += payload_of(delivery.data) == "x";
	}
	EXPECT_EQ(unsafe_count, 1);
	/* the observed flow is still held by the draining agent */
	fleet.answer_all_requests();
	fleet.deliveries.clear();
	fleet.send_packet(fleet.random_agent(), 7, coap_get(9, "more"));
	fleet.run_ms(200);
	ASSERT_EQ(fleet.deliveries.size(), 1u);
	EXPECT_EQ(fleet.deliveries[0].target, draining->name);
}

/* -- 5: each request gets its own, complete answer ----------------------- */

TEST(Answers, LateReorderedAndRepeatedOnesKeepTheirTokensAndFlows)
{
	service_fleet fleet(21, 3);
	std::vector<std::pair<uint16_t, std::string>> sent_requests;

	for (uint16_t i = 0; i < 12; i++) {
		uint16_t port = (uint16_t)(50 + i % 4);
		std::string token = "t" + std::to_string(i);

		sent_requests.emplace_back(port, token);
		fleet.send_packet(fleet.random_agent(), port,
				  coap_get(i, token));
		fleet.run_ms(60);
	}
	fleet.replies.clear();
	for (int round = 0; round < 4; round++) {
		for (auto *agent : fleet.live_agents()) {
			std::reverse(agent->at_target.begin(),
				     agent->at_target.end());
			fleet.answer_requests(*agent);
		}
		fleet.run_ms(40);
	}
	EXPECT_EQ(fleet.replies.size(), sent_requests.size());
	for (auto &[port, token] : sent_requests) {
		int found = 0;

		for (auto &reply : fleet.replies) {
			struct cx_msg msg = parse(reply.data);

			found +=
				std::string((char *)msg.token, msg.token_len) ==
					token &&
				reply.flow == rt_flow_key(0x7f0a0001, port,
							  rnk_name_id("holds"));
		}
		EXPECT_EQ(found, 1) << token;
	}
}

TEST(Answers, ALostOneIsResentAndNotRunAgain)
{
	single_agent_fleet fleet;

	fleet.send_packet(fleet.agent(), 3, coap_get(7, "t"));
	fleet.run_ms(20);
	fleet.answer_all_requests();
	EXPECT_EQ(fleet.last_payload(), "agent-0");
	fleet.replies.clear();
	fleet.send_packet(fleet.agent(), 3,
			  coap_get(7, "t")); /* retransmission */
	fleet.run_ms(20);
	EXPECT_EQ(fleet.last_payload(), "agent-0");
	EXPECT_EQ(fleet.deliveries.size(), 1u);
	fleet.send_packet(fleet.agent(), 3,
			  coap_get(8, "t")); /* a new request */
	fleet.run_ms(20);
	EXPECT_EQ(fleet.deliveries.size(), 2u);
}

/*
 * The agent acknowledges a separate response at once, without waiting for the
 * caller's acknowledgement.
 */
TEST(Answers, ASeparateResponseIsSentAsTheAcknowledgement)
{
	single_agent_fleet fleet;

	fleet.send_packet(fleet.agent(), 3, coap_get(7, "t"));
	fleet.run_ms(20);
	ASSERT_EQ(fleet.agent().at_target.size(), 1u);
	uint32_t flow = fleet.agent().at_target[0].first;
	struct agt_call call = fleet.call(fleet.agent());
	coap_bytes empty(CX_ACK, 0, 7, "");
	agt_on_target_datagram(&call, flow, empty.data.data(),
			       empty.data.size());
	EXPECT_TRUE(fleet.replies.empty());
	coap_bytes answer(CX_CON, COAP_CONTENT, 999, "t");
	answer.payload("whole");
	fleet.agent().at_target.clear();
	agt_on_target_datagram(&call, flow, answer.data.data(),
			       answer.data.size());
	ASSERT_EQ(fleet.replies.size(), 1u);
	struct cx_msg msg = parse(fleet.replies[0].data);
	EXPECT_EQ(msg.type, CX_ACK);
	EXPECT_EQ(msg.mid, 7);
	EXPECT_EQ(fleet.last_payload(), "whole");
	/* the target got its acknowledgement */
	ASSERT_EQ(fleet.agent().at_target.size(), 1u);
	msg = parse(fleet.agent().at_target[0].second);
	EXPECT_EQ(msg.type, CX_ACK);
	EXPECT_EQ(msg.mid, 999);
}

/*
 * A timer that read the clock before the request arrived must not take the
 * request for overdue and acknowledge it.
 */
TEST(Answers, AClockReadBeforeTheRequestAcknowledgesNothing)
{
	single_agent_fleet fleet;

	fleet.send_packet(fleet.agent(), 3, coap_get(7, "t"));
	fleet.run_ms(20);
	ASSERT_EQ(fleet.deliveries.size(), 1u);
	struct agt_call call = fleet.call(fleet.agent());
	call.now -= 1000000;
	fleet.agent().agt->next_expire = 0;
	agt_tick(&call);
	EXPECT_TRUE(fleet.replies.empty());
}

/*
 * When the target of a block-wise transfer is gone, another target must not
 * continue the transfer in the middle.
 */
TEST(Answers, ABlockOfAnUnknownTransferIsNotServed)
{
	single_agent_fleet fleet;
	coap_bytes block(CX_CON, COAP_GET, 9, "t");

	block.option(OPT_PATH, "dossier").option(OPT_BLOCK2, "\x16");
	fleet.send_packet(fleet.agent(), 3, block.data);
	fleet.run_ms(20);
	EXPECT_EQ(fleet.last_payload(), "transfer ended");
	EXPECT_TRUE(fleet.deliveries.empty());
	fleet.send_packet(fleet.agent(), 3, coap_get(10, "u"));
	fleet.run_ms(20);
	fleet.answer_all_requests();
	fleet.send_packet(fleet.agent(), 3, block.data);
	fleet.run_ms(20);
	/* a block on a flow that the agent holds is sent to the target */
	EXPECT_EQ(fleet.deliveries.size(), 2u);
}
