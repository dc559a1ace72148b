/* Flows and requests: the promises, under drawn failures. */
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "fleet_fake.h"

static const Jj__Role AGENT = JJ__ROLE__ROLE_AGENT;

/* A balancer and agents of one service, known to each other and settled. */
struct service_fleet : fake_fleet {
	int next_agent = 0;

	service_fleet(uint64_t seed, int agents) : fake_fleet(seed)
	{
		add("balancer", BALANCER, "entry", "");
		add_service(&nodes[0]->tbl, "holds", "127.9.9.9:5683");
		mbr_set_revision(&nodes[0]->mbr, nodes[0]->tbl.revision);
		nodes[0]->dirty = true;
		for (int i = 0; i < agents; i++)
			join();
		settle();
	}
	fake_node &join()
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
			return all_settled() && all_agree() && none_joining();
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
	/* Everybody alive knows the same members and the same table. */
	bool all_agree()
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
	fake_node &any_agent()
	{
		auto agents = live_agents();

		return *agents[rng() % agents.size()];
	}
	void answer_everything()
	{
		for (auto *agent : live_agents())
			answer_all(*agent);
	}
	/* A planned restart: state goes over, by way of a balancer. */
	void restart(fake_node &node)
	{
		size_t len = 0;
		uint8_t *packed = agt_export(node.agt, now_us, &len);
		Jj__Handover *handover =
			jj__handover__unpack(nullptr, len, packed);
		std::string centre = node.mbr.members[0].data_centre;

		stop(node);
		run_ms(rng() % 1500);
		node.ready = false;
		start(node, AGENT, centre, "holds", JJ__PHASE__PHASE_JOINING);
		/* the list of members comes from a seed, as in the daemon */
		copy_members(node);
		struct agt_call c = call(node);
		agt_import(&c, handover);
		node.ready = true;
		agt_view_changed(&c);
		jj__handover__free_unpacked(handover, nullptr);
		free(packed);
	}
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
		refresh(node);
	}
	/* A crash: nothing is handed over. */
	void crash(fake_node &node)
	{
		stop(node);
	}
	void revive(fake_node &node)
	{
		start(node, AGENT, "dc-1", "holds", JJ__PHASE__PHASE_JOINING);
		copy_members(node);
	}
};

static std::vector<uint8_t> get(uint16_t mid, const std::string &token,
				bool observe = false)
{
	coap_bytes bytes(CX_CON, COAP_GET, mid, token);

	if (observe)
		bytes.option(OPT_OBSERVE, "");
	bytes.option(OPT_PATH, "feed");
	return bytes.data;
}

static std::vector<uint8_t> post(uint16_t mid, const std::string &token,
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
	size_t at = data.rfind('\xff'); /* an Echo may hold that byte too */

	return at == std::string::npos ? "" : data.substr(at + 1);
}

/* -- 1: established flows survive any planned change --------------------- */

/*
 * Opens flows, then draws planned changes while every flow goes on sending
 * to any agent, as balancers with uneven views would. Returns how many
 * requests reached another target than the flow's.
 */
static int strays_after_changes(uint64_t seed, int changes,
				bool mechanism = true)
{
	service_fleet fleet(seed, 5);
	std::map<uint16_t, std::string> holder;
	int strays = 0;
	uint16_t mid = 1;

	fleet.plain_rendezvous = !mechanism;
	for (uint16_t port = 1000; port < 1060; port++) {
		fleet.runs.clear();
		fleet.send_to(fleet.any_agent(), port, get(mid++, "f", true));
		fleet.run_ms(100);
		EXPECT_EQ(fleet.runs.size(), 1u);
		if (fleet.runs.size() == 1)
			holder[port] = fleet.runs[0].target;
		fleet.answer_everything();
	}
	for (int i = 0; i < changes; i++) {
		auto agents = fleet.live_agents();
		fake_node &one = *agents[fleet.rng() % agents.size()];

		switch (fleet.rng() % 5) {
		case 0:
			if (agents.size() < 9)
				fleet.join();
			break;
		case 1:
			fleet.restart(one);
			break;
		case 2: { /* a weight goes up or down */
			tbl_edit edit = state_edit(
				JJ__KIND__KIND_TARGET, one.name.c_str(),
				JJ__ROW_STATE__STATE_IN, TBL_ANY_REVISION);
			edit.fields = TBL_WEIGHT;
			edit.row.weight = fleet.rng() % 3 * 100 + 20;
			fleet.change(*fleet.nodes[0], edit);
			break;
		}
		case 3:
			fleet.change(
				*fleet.nodes[0],
				state_edit(
					JJ__KIND__KIND_TARGET, one.name.c_str(),
					fleet.rng() % 2 ?
						JJ__ROW_STATE__STATE_DRAINING :
						JJ__ROW_STATE__STATE_IN,
					TBL_ANY_REVISION));
			break;
		case 4:
			mbr_set_phase(&one.mbr, JJ__PHASE__PHASE_COLD);
			one.dirty = true;
			break;
		}
		/* before, while and after the change spreads */
		for (auto &[port, target] : holder) {
			fleet.runs.clear();
			fleet.send_to(fleet.any_agent(), port,
				      get(mid++, std::to_string(mid)));
			fleet.run_ms(fleet.rng() % 3 * 20 + 60);
			for (auto &run : fleet.runs)
				strays += run.target != target;
			fleet.answer_everything();
		}
		fleet.settle();
	}
	return strays;
}

TEST(Flows, SurvivePlannedChangesFromAnyBalancersView)
{
	for (uint64_t seed = 1; seed <= 12; seed++)
		EXPECT_EQ(strays_after_changes(seed, 6), 0) << "seed " << seed;
}

/* Plain rendezvous, without flow lists and settling, breaks flows. */
TEST(Flows, BreakWithPlainRendezvous)
{
	int strays = 0;

	for (uint64_t seed = 1; seed <= 4; seed++)
		strays += strays_after_changes(seed, 6, false);
	EXPECT_GT(strays, 0);
}

TEST(Flows, ADeadHoldersFlowsOpenElsewhereAndOthersStay)
{
	service_fleet fleet(77, 5);
	std::map<uint16_t, std::string> holder;

	for (uint16_t port = 1000; port < 1050; port++) {
		fleet.runs.clear();
		fleet.send_to(fleet.any_agent(), port, get(port, "f"));
		fleet.run_ms(100);
		ASSERT_EQ(fleet.runs.size(), 1u);
		holder[port] = fleet.runs[0].target;
		fleet.answer_everything();
	}
	std::string dead = fleet.nodes[2]->name;
	fleet.crash(*fleet.nodes[2]);
	fleet.run_ms(8000);
	ASSERT_TRUE(fleet.settle());
	for (auto &[port, target] : holder) {
		fleet.runs.clear();
		fleet.send_to(fleet.any_agent(), port, get(port + 500, "g"));
		fleet.run_ms(200);
		ASSERT_EQ(fleet.runs.size(), 1u) << port;
		if (target != dead)
			EXPECT_EQ(fleet.runs[0].target, target);
		else
			EXPECT_NE(fleet.runs[0].target, dead);
		fleet.answer_everything();
	}
}

/* -- 2: no packet to another service's server ---------------------------- */

TEST(Service, PacketsOfAnotherServiceAreDroppedAlsoLate)
{
	service_fleet fleet(5, 3);
	uint64_t before;

	add_service(&fleet.nodes[0]->tbl, "reports", "127.9.9.8:5683");
	mbr_set_revision(&fleet.nodes[0]->mbr, fleet.nodes[0]->tbl.revision);
	fleet.nodes[0]->dirty = true;
	fake_node &other = fleet.add("agent-r", AGENT, "dc-1", "reports");
	fleet.run_ms(5000);
	before = fleet.runs.size();
	/* a stale balancer takes the address for one of "holds" */
	for (uint16_t port = 1; port < 100; port++)
		fleet.send_to(other, port, get(port, "t"), "holds");
	fleet.run_ms(1000);
	for (size_t i = before; i < fleet.runs.size(); i++)
		EXPECT_NE(fleet.runs[i].target, "agent-r");
	EXPECT_EQ(met_get(&other.met, MET_WRONG_SERVICE), 99u);
	EXPECT_EQ(met_get(&other.met, MET_SAFE), 0u);
}

/* -- 4: a data centre that is out ---------------------------------------- */

TEST(Out, NothingIsDeliveredAndFeedsAreTold)
{
	service_fleet fleet(6, 6);
	std::set<std::string> out_targets;

	for (uint16_t port = 1; port <= 60; port++)
		fleet.send_to(fleet.any_agent(), port, get(port, "f", true));
	fleet.run_ms(1000);
	for (int i = 0; i < 20; i++) { /* more feeds than slots: in turns */
		fleet.answer_everything();
		fleet.run_ms(50);
	}
	fleet.change(*fleet.nodes[0],
		     state_edit(JJ__KIND__KIND_DATA_CENTRE, "dc-1",
				JJ__ROW_STATE__STATE_OUT, 0));
	fleet.replies.clear();
	ASSERT_TRUE(fleet.run_until(3000, [&] {
		for (auto *agent : fleet.live_agents())
			if (agent->tbl.revision < fleet.nodes[0]->tbl.revision)
				return false;
		return true;
	}));
	fleet.run_ms(200);
	int told = 0;
	for (auto &reply : fleet.replies)
		told += payload_of(reply.data) == "feed ended";
	EXPECT_GT(told, 0);
	fleet.runs.clear();
	for (uint16_t port = 1; port <= 60; port++)
		for (auto *agent : fleet.live_agents())
			fleet.send_to(*agent, port, get(port + 100, "g"));
	fleet.run_ms(1000);
	for (auto &run : fleet.runs)
		EXPECT_STRNE(fleet.nodes[0]->mbr.members[0].name,
			     run.target.c_str());
	for (auto *agent : fleet.live_agents()) {
		bool out = !strcmp(agent->mbr.members[0].data_centre, "dc-1");
		for (auto &run : fleet.runs)
			if (out)
				EXPECT_NE(run.target, agent->name);
		if (out)
			EXPECT_EQ(agent->sockets.size(), 0u);
	}
}

/* -- 6 and 7: at most once, and "not run" that is true ------------------- */

/*
 * Callers as RFC 7252 and 9175 describe them: a request without Echo, then
 * one with the first Echo that came, copies of both at any time to any agent.
 */
struct hold {
	uint16_t port;
	std::string token;
	std::string id;
	std::string echo;
	std::vector<std::vector<uint8_t>> copies;
	bool not_run = false;
	bool done = false;
	bool unknown = false;
};

struct hold_result {
	int doubled = 0;
	int untrue = 0;
	int done = 0;
	int lost = 0; /* acknowledged, and never run */
};

enum hold_faults {
	NO_FAULTS = 0,
	CRASHES = 1,
	RESTARTS = 2,
	PAUSES = 4,
	SMALL_QUEUE = 8,
};

static void read_replies(service_fleet &fleet, std::vector<hold> &holds)
{
	for (auto &reply : fleet.replies) {
		struct cx_msg msg = parse(reply.data);

		for (auto &h : holds) {
			if (reply.flow != rt_flow_key(0x7f0a0001, h.port,
						      rnk_name_id("holds")) ||
			    h.token != std::string((char *)msg.token,
						   msg.token_len))
				continue;
			if (msg.code == CX_UNAUTHORIZED && h.echo.empty()) {
				h.echo = std::string((char *)msg.echo,
						     msg.echo_len);
				h.copies.push_back(post((uint16_t)(h.port + 1),
							h.token, h.id, h.echo));
			}
			h.done |= msg.code == COAP_CHANGED;
			h.not_run |= payload_of(reply.data) == "not run";
			h.unknown |=
				payload_of(reply.data) == "outcome unknown";
		}
	}
	fleet.replies.clear();
}

static hold_result run_holds(uint64_t seed, int faults)
{
	service_fleet fleet(seed, 4);
	std::vector<hold> holds;
	std::map<std::string, int> runs;
	hold_result result;
	fake_node *paused = nullptr;

	fleet.loss = 0.05;
	for (int i = 0; i < 60; i++) {
		hold h;

		/* ports and tokens are shared: flows carry several holds */
		h.port = (uint16_t)(100 + i % 20);
		h.token = std::string(1, (char)('a' + i / 20));
		h.id = "id-" + std::to_string(i);
		h.copies.push_back(post((uint16_t)(1000 + i), h.token, h.id));
		holds.push_back(h);
	}
	for (int round = 0; round < 400; round++) {
		hold &h = holds[fleet.rng() % holds.size()];

		/* any copy, old or new, to anybody */
		fleet.send_to(fleet.any_agent(), h.port,
			      h.copies[fleet.rng() % h.copies.size()]);
		if (round % 3 == 0)
			fleet.run_ms(20);
		if (fleet.rng() % 4 == 0)
			fleet.answer_all(fleet.any_agent());
		if (round % 80 == 40) {
			auto agents = fleet.live_agents();
			fake_node &one = *agents[fleet.rng() % agents.size()];

			if (faults & CRASHES && agents.size() > 2) {
				fleet.crash(one);
				fleet.run_ms(fleet.rng() % 6000);
				fleet.revive(one);
			} else if (faults & RESTARTS) {
				fleet.restart(one);
			} else if (faults & PAUSES) {
				if (paused)
					paused->paused = false;
				paused = &one;
				one.paused = true;
			}
		}
		read_replies(fleet, holds);
	}
	if (paused)
		paused->paused = false;
	for (int round = 0; round < 50; round++) {
		for (auto &h : holds) /* very late copies */
			fleet.send_to(fleet.any_agent(), h.port,
				      h.copies[fleet.rng() % h.copies.size()]);
		fleet.run_ms(100);
		fleet.answer_everything();
		read_replies(fleet, holds);
	}
	for (auto &run : fleet.runs)
		runs[payload_of(run.data)]++;
	for (auto &h : holds) {
		result.doubled += runs[h.id] > 1;
		result.untrue += h.not_run && runs[h.id] > 0;
		result.done += h.done;
		result.lost += h.done && runs[h.id] == 0;
	}
	return result;
}

static void expect_honest(int faults, int seeds)
{
	for (uint64_t seed = 1; seed <= (uint64_t)seeds; seed++) {
		hold_result result = run_holds(seed, faults);

		EXPECT_EQ(result.doubled, 0) << "seed " << seed;
		EXPECT_EQ(result.untrue, 0) << "seed " << seed;
		EXPECT_EQ(result.lost, 0) << "seed " << seed;
		EXPECT_GT(result.done, 20) << "seed " << seed;
	}
}

TEST(Holds, AtMostOnceWithCopiesOnAllAgents)
{
	expect_honest(NO_FAULTS, 10);
}

TEST(Holds, AtMostOnceWhileAgentsCrashAndComeBack)
{
	expect_honest(CRASHES, 10);
}

TEST(Holds, AtMostOnceWhileAgentsAreRestarted)
{
	expect_honest(RESTARTS, 10);
}

TEST(Holds, AtMostOnceWhileAgentsArePaused)
{
	expect_honest(PAUSES, 10);
}

/* A challenge and its answer, at one agent. */
struct one_agent : service_fleet {
	uint16_t mid = 50;

	one_agent() : service_fleet(1, 1)
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
	std::string challenge(uint16_t port, const std::string &token,
			      const std::string &id)
	{
		replies.clear();
		send_to(agent(), port, ::post(mid++, token, id));
		run_ms(20);
		EXPECT_EQ(replies.size(), 1u);
		struct cx_msg msg = parse(replies.back().data);
		return std::string((char *)msg.echo, msg.echo_len);
	}
	size_t runs_of(const std::string &id)
	{
		size_t count = 0;

		for (auto &run : runs)
			count += payload_of(run.data) == id;
		return count;
	}
};

TEST(Holds, ARefusalStandsWhenTheCopyComesLate)
{
	one_agent fleet;
	std::vector<std::pair<std::vector<uint8_t>, uint16_t>> sent;

	/* 5 in flight, 32 queued, the rest is refused */
	for (uint16_t i = 0; i < 45; i++) {
		std::string id = "id" + std::to_string(i);
		std::string echo = fleet.challenge(i + 1, "t", id);
		auto bytes = post(fleet.mid++, "t", id, echo);

		sent.emplace_back(bytes, i + 1);
		fleet.replies.clear();
		fleet.send_to(fleet.agent(), i + 1, bytes);
		fleet.run_ms(20);
		if (i >= 37)
			EXPECT_EQ(fleet.last_payload(), "not run") << i;
	}
	for (int i = 0; i < 20; i++) {
		fleet.answer_everything();
		fleet.run_ms(20);
	}
	EXPECT_EQ(fleet.runs_of("id5"), 1u);
	for (uint16_t i = 37; i < 45; i++) {
		fleet.send_to(fleet.agent(), sent[i].second, sent[i].first);
		fleet.run_ms(300 * 1000 / 8);
		EXPECT_EQ(fleet.last_payload(), "not run");
		EXPECT_EQ(fleet.runs_of("id" + std::to_string(i)), 0u);
	}
}

TEST(Holds, AFullLedgerClaimsNothingAndForgetsNothing)
{
	one_agent fleet;
	int refused = 0, later = 0;
	std::string first_echo;

	/* 1024 entries over 8 shards, one flow: one shard's 129 */
	for (int i = 0; i < 200; i++) {
		std::string id = "id" + std::to_string(i);
		std::string echo = fleet.challenge(9, std::to_string(i), id);

		if (!i)
			first_echo = echo;
		fleet.send_to(fleet.agent(), 9,
			      post(fleet.mid++, std::to_string(i), id, echo));
		fleet.run_ms(20);
		refused += fleet.last_payload() == "not run";
		later += fleet.last_payload() == "try later";
		fleet.answer_everything();
		fleet.run_ms(20);
	}
	EXPECT_EQ(refused, 0);
	EXPECT_EQ(later, 200 - 129);
	/* the first one is still known */
	fleet.send_to(fleet.agent(), 9, post(7, "0", "id0", first_echo));
	fleet.run_ms(20);
	EXPECT_EQ(fleet.last_payload(), "agent-0");
	EXPECT_EQ(fleet.runs_of("id0"), 1u);
}

/*
 * The first copy came twice and got two Echoes; the client repeats the
 * request with each, under a new token for each, as libcoap does.
 */
TEST(Holds, TwoEchoesOfOneRequestRunItOnce)
{
	one_agent fleet;
	std::string first = fleet.challenge(1, "t", "x");
	fleet.run_ms(1100); /* the second has another time of issue */
	std::string second = fleet.challenge(1, "t", "x");

	ASSERT_NE(first, second);
	fleet.send_to(fleet.agent(), 1, post(1, "t-1", "x", first));
	fleet.send_to(fleet.agent(), 1, post(2, "t-02", "x", second));
	fleet.run_ms(50);
	EXPECT_EQ(fleet.runs_of("x"), 1u);
	fleet.answer_everything();
	fleet.replies.clear();
	fleet.send_to(fleet.agent(), 1, post(2, "t-02", "x", second));
	fleet.run_ms(50);
	EXPECT_EQ(fleet.runs_of("x"), 1u);
	ASSERT_EQ(fleet.replies.size(), 1u);
	struct cx_msg msg = parse(fleet.replies[0].data);
	EXPECT_EQ(std::string((char *)msg.token, msg.token_len), "t-02");
	EXPECT_EQ(msg.mid, 2);
	EXPECT_EQ(fleet.last_payload(), "agent-0");
	/* the same content under a token of its own is another request */
	std::string other = fleet.challenge(1, "u", "x");
	fleet.send_to(fleet.agent(), 1, post(9, "u-1", "x", other));
	fleet.run_ms(50);
	EXPECT_EQ(fleet.runs_of("x"), 2u);
}

TEST(Holds, EchoOfAnotherFlowOrMadeUpRunsNothing)
{
	one_agent fleet;
	std::string echo = fleet.challenge(1, "t", "x");

	fleet.send_to(fleet.agent(), 2, post(1, "t", "x", echo));
	std::string forged = echo;
	forged[39] ^= 1;
	fleet.send_to(fleet.agent(), 1, post(2, "t", "x", forged));
	fleet.run_ms(50);
	EXPECT_EQ(fleet.runs_of("x"), 0u);
	fleet.send_to(fleet.agent(), 1, post(3, "t", "x", echo));
	fleet.run_ms(50);
	EXPECT_EQ(fleet.runs_of("x"), 1u);
}

TEST(Holds, NoAnswerByTheDeadlineIsUnknownAndTheLateAnswerStillComes)
{
	one_agent fleet;
	std::string echo = fleet.challenge(1, "t", "x");

	fleet.send_to(fleet.agent(), 1, post(1, "t", "x", echo));
	fleet.run_ms(31000);
	EXPECT_EQ(fleet.last_payload(), "outcome unknown");
	fleet.send_to(fleet.agent(), 1, post(1, "t", "x", echo));
	fleet.run_ms(50);
	EXPECT_EQ(fleet.runs_of("x"), 1u);
	EXPECT_EQ(fleet.last_payload(), "outcome unknown");
	fleet.answer_everything();
	EXPECT_EQ(fleet.last_payload(), "agent-0");
}

TEST(Holds, QueuedPastItsDeadlineIsRefusedAndNeverRun)
{
	one_agent fleet;
	std::string echo;

	for (uint16_t i = 0; i < 5; i++) {
		fleet.send_to(fleet.agent(), i + 1, get(i, "busy"));
		fleet.run_ms(20);
	}
	echo = fleet.challenge(9, "t", "x");
	auto bytes = post(9, "t", "x", echo, "deadline_ms=900");
	fleet.send_to(fleet.agent(), 9, bytes);
	fleet.run_ms(800);
	EXPECT_NE(fleet.last_payload(), "not run");
	fleet.run_ms(200);
	EXPECT_EQ(fleet.last_payload(), "not run");
	fleet.answer_everything();
	fleet.run_ms(100);
	fleet.send_to(fleet.agent(), 9, bytes);
	fleet.run_ms(50);
	EXPECT_EQ(fleet.last_payload(), "not run");
	EXPECT_EQ(fleet.runs_of("x"), 0u);
}

TEST(Holds, ACrashedAgentsEchoIsAnsweredUnknown)
{
	service_fleet fleet(3, 3);
	std::string echo;

	fleet.send_to(*fleet.nodes[1], 7, post(1, "t", "x"));
	fleet.run_ms(100);
	ASSERT_EQ(fleet.replies.size(), 1u);
	struct cx_msg msg = parse(fleet.replies[0].data);
	echo = std::string((char *)msg.echo, msg.echo_len);
	fake_node *giver = fleet.by_id(fleet.replies[0].holder);
	ASSERT_NE(giver, nullptr);
	fleet.crash(*giver);
	fleet.run_ms(10000);
	fleet.settle();
	fleet.replies.clear();
	fleet.send_to(fleet.any_agent(), 7, post(2, "t", "x", echo));
	fleet.run_ms(300);
	ASSERT_FALSE(fleet.replies.empty());
	EXPECT_EQ(payload_of(fleet.replies.back().data), "outcome unknown");
	fleet.revive(*giver);
	fleet.settle();
	fleet.send_to(fleet.any_agent(), 7, post(3, "t", "x", echo));
	fleet.run_ms(300);
	EXPECT_EQ(payload_of(fleet.replies.back().data), "outcome unknown");
	EXPECT_TRUE(fleet.runs.empty());
}

/* -- 8: a leaving target gets no new work -------------------------------- */

TEST(Leaving, NewFlowsAndUnsafeRequestsGoElsewhereFeedsStay)
{
	service_fleet fleet(11, 4);
	fake_node *leaving = nullptr;

	fleet.send_to(*fleet.nodes[1], 7, get(1, "feed", true));
	fleet.run_ms(100);
	ASSERT_EQ(fleet.runs.size(), 1u);
	fleet.answer_everything();
	for (auto *agent : fleet.live_agents())
		if (agent->name == fleet.runs[0].target)
			leaving = agent;
	ASSERT_NE(leaving, nullptr);
	fleet.change(*fleet.nodes[0],
		     state_edit(JJ__KIND__KIND_TARGET, leaving->name.c_str(),
				JJ__ROW_STATE__STATE_DRAINING, 0));
	fleet.run_ms(4000);
	fleet.runs.clear();
	fleet.replies.clear();
	for (uint16_t port = 100; port < 140; port++)
		fleet.send_to(*leaving, port, get(port, "n")); /* stale */
	fleet.send_to(*leaving, 7, post(2, "h", "x"));
	fleet.run_ms(500);
	std::string echo;
	for (auto &reply : fleet.replies) {
		struct cx_msg msg = parse(reply.data);

		if (msg.code == CX_UNAUTHORIZED)
			echo = std::string((char *)msg.echo, msg.echo_len);
	}
	fleet.send_to(*leaving, 7, post(3, "h", "x", echo));
	for (int i = 0; i < 10; i++) {
		fleet.run_ms(100);
		fleet.answer_everything();
	}
	int holds = 0;
	for (auto &run : fleet.runs) {
		EXPECT_NE(run.target, leaving->name);
		holds += payload_of(run.data) == "x";
	}
	EXPECT_EQ(holds, 1);
	/* the feed's flow is still held there */
	fleet.answer_everything();
	fleet.runs.clear();
	fleet.send_to(fleet.any_agent(), 7, get(9, "more"));
	fleet.run_ms(200);
	ASSERT_EQ(fleet.runs.size(), 1u);
	EXPECT_EQ(fleet.runs[0].target, leaving->name);
}

/* -- 5: the whole answer to its own request ------------------------------ */

TEST(Answers, LateReorderedAndRepeatedOnesKeepTheirTokensAndFlows)
{
	service_fleet fleet(21, 3);
	std::vector<std::pair<uint16_t, std::string>> asked;

	for (uint16_t i = 0; i < 12; i++) {
		uint16_t port = (uint16_t)(50 + i % 4);
		std::string token = "t" + std::to_string(i);

		asked.emplace_back(port, token);
		fleet.send_to(fleet.any_agent(), port, get(i, token));
		fleet.run_ms(60);
	}
	fleet.replies.clear();
	for (int round = 0; round < 4; round++) {
		for (auto *agent : fleet.live_agents()) {
			std::reverse(agent->at_target.begin(),
				     agent->at_target.end());
			fleet.answer_all(*agent);
		}
		fleet.run_ms(40);
	}
	EXPECT_EQ(fleet.replies.size(), asked.size());
	for (auto &[port, token] : asked) {
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

TEST(Answers, ALostOneIsRepeatedAndNotRunAgain)
{
	one_agent fleet;

	fleet.send_to(fleet.agent(), 3, get(7, "t"));
	fleet.run_ms(20);
	fleet.answer_everything();
	EXPECT_EQ(fleet.last_payload(), "agent-0");
	fleet.replies.clear();
	fleet.send_to(fleet.agent(), 3, get(7, "t")); /* the caller's copy */
	fleet.run_ms(20);
	EXPECT_EQ(fleet.last_payload(), "agent-0");
	EXPECT_EQ(fleet.runs.size(), 1u);
	fleet.send_to(fleet.agent(), 3, get(8, "t")); /* a new request */
	fleet.run_ms(20);
	EXPECT_EQ(fleet.runs.size(), 2u);
}

/* The target's acknowledgements do not wait for the caller's. */
TEST(Answers, ASeparateAnswerComesAsTheRequestsAcknowledgement)
{
	one_agent fleet;

	fleet.send_to(fleet.agent(), 3, get(7, "t"));
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
	/* and the target got its acknowledgement at once */
	ASSERT_EQ(fleet.agent().at_target.size(), 1u);
	msg = parse(fleet.agent().at_target[0].second);
	EXPECT_EQ(msg.type, CX_ACK);
	EXPECT_EQ(msg.mid, 999);
}

/* A timer that read the clock before the request came acknowledges nothing. */
TEST(Answers, AnOlderNowAcknowledgesNothing)
{
	one_agent fleet;

	fleet.send_to(fleet.agent(), 3, get(7, "t"));
	fleet.run_ms(20);
	ASSERT_EQ(fleet.runs.size(), 1u);
	struct agt_call call = fleet.call(fleet.agent());
	call.now -= 1000000;
	fleet.agent().agt->next_expire = 0;
	agt_tick(&call);
	EXPECT_TRUE(fleet.replies.empty());
}

/* A transfer whose target is gone is not taken up in the middle by another. */
TEST(Answers, ABlockOfAnUnknownTransferIsNotServed)
{
	one_agent fleet;
	coap_bytes block(CX_CON, COAP_GET, 9, "t");

	block.option(OPT_PATH, "dossier").option(OPT_BLOCK2, "\x16");
	fleet.send_to(fleet.agent(), 3, block.data);
	fleet.run_ms(20);
	EXPECT_EQ(fleet.last_payload(), "transfer ended");
	EXPECT_TRUE(fleet.runs.empty());
	fleet.send_to(fleet.agent(), 3, get(10, "u"));
	fleet.run_ms(20);
	fleet.answer_everything();
	fleet.send_to(fleet.agent(), 3, block.data);
	fleet.run_ms(20);
	EXPECT_EQ(fleet.runs.size(), 2u); /* on a flow held here it is */
}
