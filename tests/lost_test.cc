/*
 * Flows of targets that crash, freeze or restart, in virtual time. Agents probe
 * their targets as egress.c does, and phases reach the members by slow gossip.
 */
#include <gtest/gtest.h>

#include "relay_fake.h"

static const uint64_t MS = 1000;

static const char *const FIRST = "agent-0";

struct lost_fleet : relay_fleet {
	/* Besides the fake target's state, by the agent's name. */
	struct process {
		bool dead = false; /* nothing serves its address */
		bool frozen = false; /* alive, but does nothing */
		uint64_t started_ms = 100;
		Jj__Phase announced = JJ__PHASE__PHASE_NONE;
		bool cut_off = false; /* the agent's pings are not answered */
	};
	std::map<std::string, process> processes;
	uint64_t gossip_us = 100 * MS;
	int probes = 0;
	std::set<uint64_t> resets;

	explicit lost_fleet(uint64_t seed, int n = 3, uint32_t silence_ms = 250)
	    : relay_fleet(seed)
	{
		configure = [silence_ms](flw_desc &desc) {
			desc.heartbeat_ms = 1000;
			desc.probe_silence_ms = silence_ms;
		};
		on_tick = [this](relay_agent &a) { tick(a); };
		set_rows("config",
			 { service_row("desk"),
			   route_row("r", "desk", "198.18.0.1:443") });
		add_balancer("balancer-1");
		add_balancer("balancer-2");
		for (int i = 0; i < n; i++)
			add_agent("agent-" + std::to_string(i), "desk", "dc-a");
		for (auto &a : agents)
			beat(*a);
		run(SECOND);
	}
	/* Sends heartbeats each second while the target runs. */
	void beat(relay_agent &a)
	{
		const process &p = processes[a.name];

		schedule(SECOND, [this, &a] { beat(a); });
		if (!p.dead && !p.frozen && a.alive)
			report(a, p.started_ms, ++a.seq);
	}
	void report(relay_agent &a, uint64_t started_ms, uint64_t seq,
		    const char *id = nullptr)
	{
		flw_heartbeat message = make_heartbeat(a);

		message.started_ms = started_ms;
		message.received_ms = now / 1000;
		message.seq = seq;
		if (id)
			snprintf(message.id, sizeof(message.id), "%s", id);
		flw_on_heartbeat(a.core.get(), &message, now, nullptr);
	}
	/* As egr_tick(). */
	void tick(relay_agent &a)
	{
		process &p = processes[a.name];
		flw_call call = call_of(a);
		uint64_t began = flw_begin_probe(&call);
		bool refused = p.dead;

		if (began) {
			probes++;
			schedule(5 * MS, [this, &a, began, refused] {
				flw_call later = call_of(a);

				if (a.alive)
					flw_on_probe_result(
						&later, began,
						refused ? PRB_REFUSED :
							  PRB_ACCEPTED);
			});
		}
		/* No ping is answered since the agent was cut off. */
		flw_on_ping_answered(a.core.get(), p.cut_off ? SECOND : now,
				     now);
		announce(a, flw_phase(a.core.get(), now));
		check_resets();
	}
	void announce(relay_agent &a, Jj__Phase phase)
	{
		process &p = processes[a.name];

		flw_on_phase_announced(a.core.get(), phase, now);
		if (phase == p.announced)
			return;
		p.announced = phase;
		schedule(p.cut_off ? 3600 * SECOND : gossip_us, [this, &a,
								 phase] {
			if (!a.alive)
				return;
			set_member(a.name, JJ__ROLE__ROLE_AGENT, "desk", "dc-a",
				   phase, JJ__LIVENESS__LIVE_ALIVE);
			publish();
		});
	}
	/* No flow may be reset that a target holds, be it frozen. */
	void check_resets()
	{
		for (auto &caller : callers)
			if (caller.second.reset &&
			    resets.insert(caller.first).second)
				EXPECT_EQ(holder(caller.first), nullptr)
					<< "reset at " << now;
	}
	void crash(relay_agent &a)
	{
		a.target = std::make_unique<fake_target>();
		a.target->silent = true;
		processes[a.name].dead = true;
		processes[a.name].frozen = false;
	}
	void freeze(relay_agent &a, bool frozen)
	{
		processes[a.name].frozen = frozen;
		a.target->silent = frozen;
	}
	/* The target serves packets; its first heartbeat comes later. */
	void restart_target(relay_agent &a)
	{
		if (!processes[a.name].dead)
			crash(a);
		a.target->silent = processes[a.name].dead = false;
		processes[a.name].started_ms = now / 1000;
		a.seq = 0;
	}
	/* The agent ends; the others count it as dead, in its last phase. */
	void kill_agent(relay_agent &a,
			Jj__Liveness liveness = JJ__LIVENESS__LIVE_DEAD)
	{
		const mbr_member *held =
			mbr_find(&members, rnk_name_id(a.name.c_str()));

		kill(a);
		set_member(a.name, JJ__ROLE__ROLE_AGENT, "desk", "dc-a",
			   held->phase, liveness);
		publish();
	}
	/* Opens flows with a request each. */
	std::vector<uint64_t> open(uint32_t first, uint32_t count)
	{
		std::vector<uint64_t> keys;

		for (uint32_t i = first; i < first + count; i++) {
			keys.push_back(add_caller(i));
			send(keys.back(), i);
			run(6 * MS);
			if (callers[keys.back()].open)
				request(keys.back(), i);
			run(4 * MS);
		}
		return keys;
	}
	/* A home has the flow opened at the first agent. */
	uint64_t place(uint32_t number)
	{
		uint64_t key = add_caller(number);

		deliver(0, key, { callers[key].head, 0 },
			1 /* FLW_MODE_PLACED */);
		return key;
	}
	int count_resets(const std::vector<uint64_t> &keys,
			 const char *opened_by)
	{
		int count = 0;

		for (auto key : keys)
			count += callers[key].reset &&
				 callers[key].opened_by == opened_by;
		return count;
	}
	int count_opened(const std::vector<uint64_t> &keys, const char *by)
	{
		int count = 0;

		for (auto key : keys)
			count += callers[key].opened_by == by;
		return count;
	}
};

/*
 * Callers of a crashed target waited for their own deadlines, and openings for
 * 60 ms each. Other targets' callers must not be affected.
 */
TEST(Lost, CallersOfACrashedTargetAreNotifiedWithinASecond)
{
	lost_fleet fleet(1);
	relay_agent &agent = *fleet.agents[0];

	for (auto &a : fleet.agents) {
		a->target->response_us = 30 * SECOND;
		a->target->slots = 12; /* room for all on two targets */
	}
	fleet.run(SECOND);
	auto keys = fleet.open(0, 9);
	int held = fleet.count_opened(keys, FIRST);
	ASSERT_EQ(held, 3);
	fleet.run(500 * MS);
	EXPECT_GT(fleet.probes, 0); /* long requests: probed without effect */
	EXPECT_TRUE(fleet.resets.empty());
	fleet.crash(agent);
	auto later = fleet.open(100, 6);
	fleet.run(SECOND - 60 * MS);
	EXPECT_EQ(fleet.count_resets(keys, FIRST), held);
	EXPECT_EQ(fleet.resets.size(), (size_t)held);
	EXPECT_EQ(agent.counters->counters[MET_LOST_FLOWS], (uint64_t)held);
	for (auto key : later)
		EXPECT_TRUE(fleet.callers[key].open);
	EXPECT_EQ(flw_phase(agent.core.get(), fleet.now),
		  JJ__PHASE__PHASE_DOWN);
	EXPECT_EQ(fleet.count_logged("proof=refused connection"), 1u);
	/* Once it is proved, there is nothing to probe. */
	int probes = agent.counters->counters[MET_TARGET_PROBES];
	fleet.run(5 * SECOND);
	EXPECT_EQ(agent.counters->counters[MET_TARGET_PROBES], probes);
}

/*
 * The target starts again while a probe runs. A flow that the new process was
 * given before the result is read must not be ended.
 */
TEST(Lost, FlowsGivenAfterTheProbeBeganAreKept)
{
	lost_fleet fleet(8);
	relay_agent &agent = *fleet.agents[0];

	fleet.open(0, 3);
	fleet.run(SECOND);
	fleet.crash(agent);
	fleet.on_tick = nullptr; /* probes by hand */
	fleet.place(10);
	fleet.run(100 * MS);
	flw_call call = fleet.call_of(agent);
	uint64_t began = flw_begin_probe(&call);
	ASSERT_NE(began, 0u);
	fleet.restart_target(agent);
	agent.target->handshake_us = 10 * MS;
	uint64_t key = fleet.place(20);
	fleet.run(5 * MS);
	call = fleet.call_of(agent);
	flw_on_probe_result(&call, began, PRB_REFUSED);
	EXPECT_EQ(fleet.count_logged("proof=refused connection"), 1u);
	fleet.run(100 * MS);
	EXPECT_EQ(fleet.callers[key].opened_by, FIRST);
	EXPECT_FALSE(fleet.callers[key].reset);
}

/*
 * A live target whose probes are rejected, as by a filter. Its packets arrive
 * before its heartbeat does; they must end the probes, too, or the flows of
 * each silence would be reset.
 */
TEST(Lost, APacketAfterARefusalEndsTheProbes)
{
	lost_fleet fleet(9, 1);
	relay_agent &agent = *fleet.agents[0];

	fleet.run(100 * MS); /* the target is seen to listen */
	fleet.on_tick = nullptr; /* probes by hand */
	for (uint32_t round = 0; round < 2; round++) {
		agent.target->response_us = 300 * MS;
		auto keys = fleet.open(10 * round, 1);
		ASSERT_TRUE(fleet.callers[keys[0]].open);
		fleet.run(260 * MS);
		flw_call call = fleet.call_of(agent);
		uint64_t began = flw_begin_probe(&call);
		EXPECT_EQ(began != 0, round == 0);
		if (began)
			flw_on_probe_result(&call, began, PRB_REFUSED);
		fleet.run(300 * MS); /* the target responds */
		EXPECT_EQ(fleet.callers[keys[0]].reset, round == 0);
	}
}

/*
 * A heartbeat and an opening arrive after the phase was computed and before it
 * is announced: the agent must not open a flow and be counted as down.
 */
TEST(Lost, NoFlowIsOpenedWhileThePhaseDownIsBeingAnnounced)
{
	lost_fleet fleet(10, 1);
	relay_agent &agent = *fleet.agents[0];

	fleet.open(0, 1);
	fleet.crash(agent);
	fleet.on_tick = nullptr; /* probes by hand */
	fleet.run(300 * MS);
	flw_call call = fleet.call_of(agent);
	uint64_t began = flw_begin_probe(&call);
	ASSERT_NE(began, 0u);
	flw_on_probe_result(&call, began, PRB_REFUSED);
	ASSERT_EQ(flw_phase(agent.core.get(), fleet.now),
		  JJ__PHASE__PHASE_DOWN);
	fleet.restart_target(agent);
	fleet.report(agent, fleet.now / 1000, ++agent.seq);
	uint64_t key = fleet.place(20);
	fleet.run(10 * MS);
	EXPECT_FALSE(fleet.callers[key].open);
}

/*
 * The answer to an opening is lost, the target restarts, and the caller's copy
 * opens the flow in the new process. The flow must not be looked up as lost.
 */
TEST(Lost, AFlowThatACopyOpensAtARestartedTargetIsKept)
{
	lost_fleet fleet(11);
	relay_agent &agent = *fleet.agents[0];

	fleet.lose_holdings = true; /* so that homes must ask */
	for (uint32_t i = 0; i < 8; i++) {
		uint64_t key = fleet.place(i);
		fake_caller before = fleet.callers[key];

		fleet.run(5 * MS);
		ASSERT_TRUE(fleet.callers[key].open);
		fleet.callers[key] = before;
		fleet.restart_target(agent);
		fleet.deliver(0, key, { before.head, 0 }, 1);
		fleet.run(5 * MS);
		ASSERT_TRUE(fleet.callers[key].open);
		fleet.request(key, 0);
		fleet.run(SECOND);
		fleet.request(key, 0);
		fleet.run(SECOND);
		EXPECT_FALSE(fleet.callers[key].reset);
		EXPECT_GT(fleet.callers[key].answers, 0);
	}
}

/*
 * A frozen target still holds its flows: neither its silence, nor its missed
 * heartbeats, nor an agent that restarts or dies meanwhile may lead to a reset.
 */
TEST(Lost, FlowsOfAFrozenTargetAreKept)
{
	for (int fault = 0; fault < 3; fault++) {
		lost_fleet fleet(3 + (uint64_t)fault);
		relay_agent &agent = *fleet.agents[0];
		auto keys = fleet.open(0, 9);

		fleet.run(SECOND);
		fleet.freeze(agent, true);
		fleet.run(4 * SECOND);
		EXPECT_EQ(flw_phase(agent.core.get(), fleet.now),
			  JJ__PHASE__PHASE_DRAINING);
		if (fault == 1) {
			flw_finish(agent.core.get());
			fleet.start(agent);
		} else if (fault == 2) {
			fleet.kill_agent(agent);
		}
		fleet.add_balancer("balancer-3");
		for (auto key : keys)
			fleet.request(key, 2);
		fleet.run(4 * SECOND);
		EXPECT_TRUE(fleet.resets.empty()) << fault;
		fleet.freeze(agent, false);
		if (fault == 2)
			continue;
		fleet.run(SECOND);
		for (auto key : keys)
			fleet.request(key, 2);
		fleet.run(SECOND);
		EXPECT_TRUE(fleet.resets.empty()) << fault;
		for (auto key : keys)
			EXPECT_GE(fleet.callers[key].answers, 2) << fault;
	}
}

/*
 * A restarted target may serve packets before its first heartbeat. The agent
 * must use it again by itself, but not before gossip had time to spread.
 */
TEST(Lost, ARestartedTargetIsUsedAfterItsHeartbeatAndTheReturnDelay)
{
	for (bool cut_off : { false, true }) {
		lost_fleet fleet(4, 1);
		relay_agent &agent = *fleet.agents[0];

		fleet.open(0, 2);
		fleet.crash(agent);
		fleet.open(10, 2);
		fleet.run(SECOND);
		EXPECT_EQ(fleet.view->agents[0].phase, JJ__PHASE__PHASE_DOWN);
		fleet.restart_target(agent);
		fleet.processes[FIRST].cut_off = cut_off;
		while (!agent.seq) {
			uint64_t key = fleet.place((uint32_t)fleet.now);
			fleet.run(20 * MS);
			EXPECT_FALSE(fleet.callers[key].open);
		}
		fleet.run(FLW_RETURN_DELAY_US - 60 * MS);
		uint64_t early = fleet.place(5000);
		fleet.run(120 * MS);
		uint64_t late = fleet.place(6000);
		fleet.run(10 * MS);
		EXPECT_FALSE(fleet.callers[early].open);
		/* An agent that nobody hears may be counted as down. */
		EXPECT_EQ(fleet.callers[late].open, !cut_off);
	}
}

/* A new start proves the old one gone, if it is one and is known to be later. */
TEST(Lost, ALaterStartEndsFlowsThatTheEarlierOneAnswered)
{
	const struct {
		const char *what;
		uint64_t old_ms;
		uint64_t new_ms;
		const char *new_id;
		uint64_t new_seq;
		bool late_heartbeat; /* of the old start, read just before */
		bool reset; /* of a flow answered before the last heartbeats */
	} cases[] = {
		{ "later", 100, 200, "t-agent-0", 1, false, true },
		{ "same", 100, 100, "t-agent-0", 1, false, false },
		{ "unknown", 100, 0, "t-agent-0", 1, false, false },
		{ "old one unknown", 0, 200, "t-agent-0", 1, false, false },
		/* A running process adds its start to its heartbeats. */
		{ "start given later", 0, 200, "t-agent-0", 4, false, false },
		{ "another target", 100, 200, "t-agent-9", 1, false, false },
		{ "late heartbeat", 100, 200, "t-agent-0", 1, true, true },
		/* An odd record, not a start. */
		{ "in two hours", 100, 7200000, "t-agent-0", 1, false, false },
	};

	for (const auto &c : cases) {
		lost_fleet fleet(5, 1);
		relay_agent &agent = *fleet.agents[0];
		fleet.processes[FIRST].frozen = true; /* beats by hand */
		flw_finish(agent.core.get());
		fleet.start(agent);
		fleet.report(agent, c.old_ms, 1);
		fleet.run(600 * MS);
		auto old_flows = fleet.open(0, 1);
		ASSERT_TRUE(fleet.callers[old_flows[0]].open);
		fleet.run(400 * MS);
		fleet.report(agent, c.old_ms, 2);
		fleet.run(SECOND);
		fleet.report(agent, c.old_ms, 3);
		/* The process is replaced; the new one answers at once. */
		agent.target = std::make_unique<fake_target>();
		auto new_flows = fleet.open(10, 1);
		ASSERT_TRUE(fleet.callers[new_flows[0]].open);
		fleet.run(900 * MS);
		if (c.late_heartbeat)
			fleet.report(agent, c.old_ms, 4);
		fleet.report(agent, c.new_ms, c.new_seq, c.new_id);
		fleet.report(agent, c.old_ms, 5); /* too late: ignored */
		fleet.run(100 * MS);
		EXPECT_EQ(fleet.callers[old_flows[0]].reset, c.reset) << c.what;
		EXPECT_FALSE(fleet.callers[new_flows[0]].reset) << c.what;
	}
}

/*
 * Lookups ended in doubt because of a switched-off host whose target had been
 * down, before and after it was declared dead. Any other phase leaves a doubt.
 */
TEST(Lost, AnAgentThatWasDownLeavesNoDoubt)
{
	for (bool down : { true, false }) {
		for (bool declared_dead : { true, false }) {
			lost_fleet fleet(6);
			relay_agent &agent = *fleet.agents[0];
			auto keys = fleet.open(0, 9);

			fleet.run(SECOND);
			if (down)
				fleet.crash(agent);
			fleet.run(4500 * MS);
			/* agent-1 loses its flows; they are looked up. */
			fleet.power_cycle(*fleet.agents[1], 0);
			fleet.run(SECOND);
			if (declared_dead)
				fleet.kill_agent(agent);
			else
				fleet.kill(agent);
			for (auto key : keys)
				fleet.request(key, 0);
			fleet.run(SECOND); /* callers are notified by then */
			EXPECT_EQ(fleet.count_resets(keys, "agent-1"),
				  down ? 3 : 0)
				<< down << declared_dead;
		}
	}
}

/*
 * During a release some agent always has just left in phase down. Guards against
 * lookups that wait for its reply: every lost flow's caller would be reset half
 * a second later.
 */
TEST(Lost, AnAgentThatLeftInPhaseDownIsNotWaitedFor)
{
	lost_fleet fleet(6);
	relay_agent &agent = *fleet.agents[0];
	auto keys = fleet.open(0, 9);

	fleet.run(SECOND);
	fleet.crash(agent);
	fleet.run(4500 * MS);
	fleet.kill_agent(agent, JJ__LIVENESS__LIVE_LEFT);
	fleet.power_cycle(*fleet.agents[1], 0); /* its flows are lost */
	fleet.run(SECOND);
	for (auto key : keys)
		fleet.request(key, 0);
	fleet.run(250 * MS);
	EXPECT_EQ(fleet.count_resets(keys, "agent-1"), 3);
}

/*
 * An agent that returned while gossip is late: others still count it as down.
 * Its own reply must decide, also if one or two inquiries to it are lost.
 */
TEST(Lost, AReplyOfAReturnedAgentCountsMoreThanItsStalePhase)
{
	struct {
		bool declared_dead;
		uint64_t away_ms; /* the agent, when the inquiries begin */
	} const cases[] = {
		{ true, 50 },
		{ false, 50 },
		{ true, 400 },
		{ false, 400 },
	};

	for (auto &c : cases) {
		lost_fleet fleet(7);
		relay_agent &agent = *fleet.agents[0];

		fleet.lose_holdings = true; /* so that homes must ask */
		fleet.crash(agent);
		fleet.run(4500 * MS);
		ASSERT_EQ(fleet.processes[FIRST].announced,
			  JJ__PHASE__PHASE_DOWN);
		fleet.gossip_us = 3600 * SECOND;
		agent.view_frozen = true;
		if (c.declared_dead)
			fleet.set_member(FIRST, JJ__ROLE__ROLE_AGENT, "desk",
					 "dc-a", JJ__PHASE__PHASE_DOWN,
					 JJ__LIVENESS__LIVE_DEAD);
		fleet.publish();
		fleet.restart_target(agent);
		fleet.run(2 * SECOND);
		uint64_t key = fleet.place(1);
		fleet.run(10 * MS);
		ASSERT_EQ(fleet.callers[key].opened_by, FIRST);
		fleet.request(key, 0);
		fleet.run(10 * MS);
		agent.alive = false;
		fleet.run(c.away_ms * MS);
		agent.alive = true;
		fleet.run(600 * MS);
		fleet.request(key, 1);
		fleet.run(600 * MS);
		EXPECT_TRUE(fleet.resets.empty()) << c.away_ms;
		EXPECT_GT(fleet.callers[key].answers, 0) << c.away_ms;
	}
}

/*
 * A holder replied while a packet was asked for that is too large to be kept.
 * It must not count as an agent without the flow when a later packet comes.
 */
TEST(Lost, AHolderFoundForALargePacketStaysInTheLookup)
{
	lost_fleet fleet(12);

	fleet.lose_holdings = true; /* so that homes must ask */
	auto keys = fleet.open(0, 9);
	ASSERT_GT(fleet.count_opened(keys, "agent-1"), 0);
	fleet.run(SECOND);
	fleet.crash(*fleet.agents[0]);
	fleet.run(4500 * MS);
	fleet.agents[0]->alive = false;
	for (auto key : keys) {
		fake_caller &caller = fleet.callers[key];

		if (caller.opened_by != "agent-1")
			continue;
		caller.head.payload = 50;
		caller.answers = 0;
		fleet.deliver(2, key, { caller.head, 0 }, 0 /* home */,
			      FLW_LOOKUP_PACKET_BYTES);
		fleet.run(400 * MS);
		fleet.deliver(2, key, { caller.head, 0 }, 0);
		fleet.run(SECOND);
		EXPECT_FALSE(caller.reset);
		EXPECT_GT(caller.answers, 0);
	}
}

/*
 * After a power failure every agent is a new incarnation. If each waited before
 * it opened flows, no target could be used for as long.
 */
TEST(Lost, ANewIncarnationOpensFlowsAtOnce)
{
	lost_fleet fleet(8, 1);
	relay_agent &agent = *fleet.agents[0];

	fleet.crash(agent);
	fleet.run(SECOND);
	fleet.power_cycle(agent, 0);
	uint64_t key = fleet.place(1);
	fleet.run(20 * MS);
	EXPECT_TRUE(fleet.callers[key].open);
}

/*
 * Guards against resets of flows that a restarted target was given by the
 * former life of its agent: its first heartbeat is not sent before the agent
 * has restarted, too, and proves nothing about them.
 */
TEST(Lost, AFirstHeartbeatIsNoProofOfFlowsOfTheAgentsFormerLife)
{
	for (bool declared_dead : { false, true }) {
		lost_fleet fleet(13 + declared_dead);
		relay_agent &agent = *fleet.agents[0];

		fleet.run(500 * MS);
		fleet.restart_target(agent);
		auto keys = fleet.open(0, 9);
		ASSERT_GT(fleet.count_opened(keys, FIRST), 0);
		ASSERT_EQ(agent.seq, 0u);
		if (declared_dead) {
			fleet.kill_agent(agent);
			fleet.run(20 * MS);
		}
		flw_finish(agent.core.get());
		fleet.start(agent);
		fleet.run(SECOND);
		ASSERT_EQ(agent.seq, 1u);
		fleet.publish_agent(agent);
		fleet.add_balancer("balancer-3");
		for (auto key : keys)
			fleet.request(key, 2);
		fleet.run(SECOND);
		EXPECT_TRUE(fleet.resets.empty()) << declared_dead;
		for (auto key : keys)
			EXPECT_EQ(fleet.callers[key].answers, 2)
				<< declared_dead;
	}
}

/*
 * An agent that saw its target start knows all its flows. Guards against a
 * search at every target for each flow that was lost.
 */
TEST(Lost, ATargetThatStartsAfterItsAgentIsFollowedFromItsFirstHeartbeat)
{
	const struct {
		const char *what;
		bool refused; /* a connection, when the agent had started */
		bool earlier; /* a heartbeat of an earlier start came before */
		uint64_t first_seq;
		prb_result probed; /* after the first heartbeat */
		bool followed;
		uint64_t started_ms = 200;
	} cases[] = {
		{ "refused, then listens", true, false, 1, PRB_ACCEPTED, true },
		{ "refused, never listens", true, false, 1, PRB_REFUSED,
		  false },
		{ "refused, heartbeats missed", true, false, 2, PRB_ACCEPTED,
		  false },
		{ "listened before", false, false, 1, PRB_ACCEPTED, false },
		{ "earlier start", false, true, 1, PRB_REFUSED, true },
		{ "earlier start, heartbeats missed", false, true, 2,
		  PRB_ACCEPTED, false },
		{ "not a later start", false, true, 1, PRB_ACCEPTED, false,
		  50 },
		{ "start in two hours", false, true, 1, PRB_ACCEPTED, false,
		  7200000 },
	};

	for (const auto &c : cases) {
		lost_fleet fleet(15, 1);
		relay_agent &agent = *fleet.agents[0];

		fleet.processes[FIRST].frozen = true; /* beats by hand */
		fleet.on_tick = nullptr; /* probes by hand */
		flw_finish(agent.core.get());
		fleet.start(agent);
		if (c.refused)
			flw_on_target_absent(agent.core.get());
		if (c.earlier) {
			fleet.report(agent, 100, 7);
			fleet.run(3100 * MS); /* it is silent */
		}
		fleet.report(agent, c.started_ms, c.first_seq);
		flw_call call = fleet.call_of(agent);
		flw_on_probe_result(&call, flw_begin_probe(&call), c.probed);
		uint64_t key = fleet.add_caller(1);
		fake_caller &caller = fleet.callers[key];
		caller.head.opens = 0;
		caller.head.acknowledges = 1;
		fleet.deliver(0, key, { caller.head, 0 }, 0 /* home */);
		EXPECT_EQ(agent.counters->counters[MET_TRIALS],
			  c.followed ? 0u : 1u)
			<< c.what;
	}
}

/* Crashes, freezes, restarts and dead agents in drawn order. */
TEST(LostSeeds, NoHeldFlowIsReset)
{
	uint64_t lost = 0;

	for (uint64_t seed = 1; seed <= 60; seed++) {
		lost_fleet fleet(seed, 4);
		uint32_t next = 0;
		std::vector<uint64_t> keys;
		std::set<uint64_t> acknowledged;

		fleet.gossip_us = (50 + seed % 5 * 100) * MS;
		for (int step = 0; step < 60; step++) {
			relay_agent &a = *fleet.agents[fleet.rng() % 4];
			auto &p = fleet.processes[a.name];

			a.target->response_us = (50 + fleet.rng() % 900) * MS;
			switch (fleet.rng() % 9) {
			case 0:
				fleet.crash(a);
				break;
			case 1:
				if (!p.dead)
					fleet.freeze(a, !p.frozen);
				break;
			case 2:
			case 3:
				fleet.restart_target(a);
				break;
			case 4: /* the agent's process; its target runs on */
				if (!a.alive)
					break;
				flw_finish(a.core.get());
				fleet.start(a);
				break;
			case 5: /* it is declared dead, and starts later */
				if (!a.alive)
					break;
				fleet.kill_agent(a);
				fleet.schedule(2 * SECOND, [&fleet, &a, &p] {
					flw_finish(a.core.get());
					p.announced = JJ__PHASE__PHASE_NONE;
					fleet.start(a);
				});
				break;
			default:
				break;
			}
			for (auto key : fleet.open(next, 3))
				keys.push_back(key);
			next += 3;
			/* Callers acknowledge an answer soon, as real ones. */
			for (auto key : keys)
				if (fleet.callers[key].open &&
				    acknowledged.insert(key).second)
					fleet.request(key, fleet.rng());
			for (size_t i = 0; i < 3; i++)
				fleet.request(keys[fleet.rng() % keys.size()],
					      fleet.rng());
			fleet.run(fleet.rng() % 400 * MS);
		}
		fleet.run(3 * SECOND);
		for (auto &a : fleet.agents)
			lost += a->counters->counters[MET_LOST_FLOWS];
	}
	EXPECT_GT(lost, 100u);
}
