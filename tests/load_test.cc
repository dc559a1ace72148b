/* Placement, queueing and refusal of new flows under load, in virtual time. */
#include <gtest/gtest.h>

#include "relay_fake.h"

/* -- load ---------------------------------------------------------------- */

TEST(Load, SpreadsOverTargetsByWorkInHand)
{
	single_service_fleet fleet(13);

	for (auto &agent : fleet.agents)
		agent->target->response_us = 400000;
	for (uint32_t i = 0; i < 20; i++) {
		uint64_t key = fleet.add_caller(i);
		fleet.send(key, i);
		fleet.run(8000);
		fleet.request(key, i);
		fleet.run(2000);
	}
	/* 20 concurrent requests on 5 targets of 4 slots: none is queued. */
	for (auto &agent : fleet.agents)
		EXPECT_EQ(agent->target->running, 4u);
}

TEST(Load, AFreshOpeningIsQueuedBrieflyNewestFirstThenRefused)
{
	single_service_fleet fleet(14, 1);
	fake_target &target = *fleet.agents[0]->target;
	std::vector<uint64_t> keys;

	target.response_us = 1000000;
	/* Fill 4 slots and a queue of 2. */
	for (uint32_t i = 0; i < 6; i++) {
		uint64_t key = fleet.add_caller(i);
		fleet.send(key, 0);
		fleet.run(8000);
		fleet.request(key, 0);
		fleet.run(8000);
	}
	for (uint32_t i = 6; i < 9; i++) {
		keys.push_back(fleet.add_caller(i));
		fleet.send(keys.back(), 0);
		fleet.run(1500);
	}
	EXPECT_EQ(fleet.agents[0]->core->pending_count, 3u);
	/* The route's target latency is 240 ms, so they wait for 20 ms. */
	fleet.run(20000 + 2 * FLW_TICK_US);
	for (auto key : keys) {
		EXPECT_FALSE(fleet.callers[key].open);
		EXPECT_TRUE(fleet.callers[key].reset);
	}
	/* A slot that becomes free in time goes to the newest opening. */
	target.response_us = 1000;
	keys.clear();
	fleet.run(840000);
	for (uint32_t i = 10; i < 12; i++) {
		keys.push_back(fleet.add_caller(i));
		fleet.send(keys.back(), 0);
		fleet.run(1500);
	}
	while (!fleet.callers[keys[0]].open && !fleet.callers[keys[1]].open)
		fleet.run(1000);
	EXPECT_TRUE(fleet.callers[keys[1]].open);
	EXPECT_FALSE(fleet.callers[keys[0]].open);
}

/*
 * Load reports go to a few peers at a time. This limits what a busy agent of a
 * large service sends, and each peer's copy must still stay current.
 */
TEST(Load, ReportsAreBoundedInALargeService)
{
	single_service_fleet fleet(19, 40);
	relay_agent &agent = *fleet.agents[0];
	uint64_t id = rnk_name_id(agent.name.c_str());

	fleet.run(2 * SECOND);
	fleet.load_reports.clear();
	for (uint32_t i = 0; i < 50; i++) {
		agent.core->in_flight = i % 4; /* changes all the time */
		fleet.run(FLW_LOAD_MIN_US);
		for (size_t j = 1; j < fleet.agents.size(); j++)
			for (auto &peer : fleet.agents[j]->core->peers)
				if (peer.id == id)
					EXPECT_LT(fleet.now,
						  peer.reported_at +
							  FLW_LOAD_FRESH_US);
	}
	agent.core->in_flight = 0;
	EXPECT_LE(fleet.load_reports[id],
		  (SECOND / FLW_LOAD_MIN_US + 2) * FLW_LOAD_BATCH);
	EXPECT_GE(fleet.load_reports[id], 100u);
}

/* Callers that each open a flow for one request, at an even rate. */
struct steady_load {
	single_service_fleet &fleet;
	uint32_t next = 1000;
	std::vector<uint64_t> keys;

	void run(uint64_t us, uint32_t per_s)
	{
		uint64_t gap = SECOND / per_s;

		for (uint64_t at = 0; at < us; at += gap) {
			uint64_t key = fleet.add_caller(next++);

			keys.push_back(key);
			fleet.send(key, next);
			fleet.schedule(6000, [this, key, via = next] {
				if (fleet.callers[key].open)
					fleet.request(key, via);
			});
			fleet.run(gap);
		}
	}
	/* Openings that an agent's target received since the last clear(). */
	size_t share(size_t number)
	{
		return fleet.agents[number]->target->opening_times.size();
	}
	void clear()
	{
		for (auto &agent : fleet.agents)
			agent->target->opening_times.clear();
	}
};

/*
 * Two of seven targets become six times slower for six seconds, at a load that
 * keeps all busy. After the first second they must get few openings.
 */
TEST(Load, ASlowTargetGetsWhatItCanAnswerInTime)
{
	single_service_fleet fleet(51, 7);
	steady_load load{ fleet };

	for (auto &agent : fleet.agents)
		agent->target->response_us = 30000;
	load.run(3 * SECOND, 300);
	fleet.agents[0]->target->response_us = 180000;
	fleet.agents[1]->target->response_us = 180000;
	load.run(1 * SECOND, 300);
	load.clear();
	load.run(5 * SECOND, 300);
	/* 1% of 1,500, which would be late. */
	EXPECT_LE(load.share(0) + load.share(1), 15u);
	/* The rest does not concentrate on one of the others. */
	for (size_t i = 2; i < 7; i++)
		EXPECT_LT(load.share(i), 500u);
	/* A few probe requests detect that it has recovered. */
	fleet.agents[0]->target->response_us = 30000;
	load.run(3 * SECOND, 300);
	load.clear();
	load.run(2 * SECOND, 300);
	EXPECT_GT(load.share(0), 40u);
	EXPECT_LE(load.share(1), 6u);
}

/*
 * A target that fails every request at once while it reports that it is healthy
 * is always idle. It gets a tenth of an even share, to detect its recovery.
 */
TEST(Load, ATargetThatIsSuddenlyFastAttractsNoLoad)
{
	single_service_fleet fleet(52, 10);
	steady_load load{ fleet };

	for (auto &agent : fleet.agents)
		agent->target->response_us = 35000;
	load.run(3 * SECOND, 400);
	fleet.agents[2]->target->response_us = 500;
	load.run(SECOND, 400);
	load.clear();
	load.run(5 * SECOND, 400);
	EXPECT_LE(load.share(2), 5 * SECOND / FLW_PROBE_US + 10);
	EXPECT_GE(load.share(2), 5u);
	fleet.agents[2]->target->response_us = 35000;
	load.run(4 * SECOND, 400);
	load.clear();
	load.run(2 * SECOND, 400);
	EXPECT_GT(load.share(2), 40u);
}

/* A target with a cache or with small answers is fast from the start. */
TEST(Load, ATargetThatHasAlwaysBeenFastIsNotHeldBack)
{
	single_service_fleet fleet(53, 10);
	steady_load load{ fleet };

	for (auto &agent : fleet.agents)
		agent->target->response_us = 35000;
	fleet.agents[2]->target->response_us = 2000;
	load.run(3 * SECOND, 400);
	load.clear();
	load.run(2 * SECOND, 400);
	EXPECT_GE(load.share(2), 80u); /* the even share of 800 */
}

/* All targets become fast together, for example by a new version. */
TEST(Load, NoTargetIsHeldBackWhenAllBecomeFast)
{
	single_service_fleet fleet(54, 4);
	steady_load load{ fleet };

	for (auto &agent : fleet.agents)
		agent->target->response_us = 35000;
	load.run(3 * SECOND, 200);
	for (auto &agent : fleet.agents)
		agent->target->response_us = 1000;
	load.run(2 * SECOND, 200);
	load.clear();
	load.run(2 * SECOND, 200);
	for (size_t i = 0; i < 4; i++)
		EXPECT_GE(load.share(i), 30u);
}

/* Six data centres of ten agents each, as a fleet of hundreds has them. */
struct six_centre_fleet : relay_fleet {
	explicit six_centre_fleet(uint64_t seed) : relay_fleet(seed)
	{
		set_rows("config",
			 { service_row("desk"),
			   route_row("r", "desk", "198.18.0.1:443") });
		add_balancer("balancer-1"); /* in dc-a */
		for (int i = 0; i < 60; i++)
			add_agent("agent-" + std::to_string(i), "desk",
				  std::string("dc-") + (char)('a' + i % 6));
		run(700000);
	}
	uint64_t open_one(uint32_t number)
	{
		uint64_t key = add_caller(number);

		send(key, 0);
		run(6000);
		request(key, 0);
		run(4000);
		return key;
	}
};

TEST(DataCentres, FlowsStayInTheirCallersDataCentre)
{
	six_centre_fleet fleet(61);
	uint64_t centre = rnk_name_id("dc-a");
	const struct viw_service *service =
		viw_service(fleet.view.get(), rnk_name_id("desk"));
	std::map<std::string, int> homes;

	for (uint32_t i = 0; i < 40; i++) {
		uint64_t key = fleet.open_one(i);
		const struct viw_agent *home =
			viw_first_home(fleet.view.get(), service, key, centre);

		EXPECT_EQ(home->data_centre, centre);
		homes[std::to_string(home->id)]++;
		EXPECT_EQ(fleet.holder(key)->data_centre, "dc-a");
	}
	EXPECT_GE(homes.size(), 6u); /* of 10 */
}

/* Agents know enough peers in other data centres when their own is out. */
TEST(DataCentres, FlowsGoElsewhereWhenTheirDataCentreIsOut)
{
	six_centre_fleet fleet(62);
	std::set<std::string> centres;

	fleet.set_rows("op/evacuate/dc-a", { fleet.draining_row("dc-a") });
	fleet.run(400000);
	for (uint32_t i = 0; i < 60; i++) {
		uint64_t key = fleet.open_one(i);

		ASSERT_TRUE(fleet.callers[key].open);
		fleet.run(30000);
		EXPECT_EQ(fleet.callers[key].answers, 1);
		centres.insert(fleet.holder(key)->data_centre);
	}
	EXPECT_EQ(centres.count("dc-a"), 0u);
	EXPECT_GE(centres.size(), 4u);
	EXPECT_EQ(fleet.count_logged("JJ521"), 0u);
}

/* Reports to other data centres do not become more frequent under load. */
TEST(DataCentres, LoadReportsCrossDataCentresRarely)
{
	six_centre_fleet fleet(63);
	relay_agent &agent = *fleet.agents[0];

	fleet.remote_load_reports.clear();
	for (uint32_t i = 0; i < 100; i++) {
		agent.core->in_flight = i % 4; /* changes all the time */
		fleet.run(FLW_LOAD_MIN_US);
	}
	agent.core->in_flight = 0;
	EXPECT_GE(fleet.remote_load_reports[agent.name], 30u);
	EXPECT_LE(fleet.remote_load_reports[agent.name],
		  (2 * SECOND / FLW_LOAD_MAX_US + 1) * FLW_LOAD_REMOTE);
}

/*
 * If a data centre with few agents tracked its own flows, the loss of one agent
 * could lose the tracking of all of them.
 */
TEST(DataCentres, HomesAreAnywhereWhereADataCentreHasFewAgents)
{
	single_service_fleet fleet(64, 6);
	const struct viw_service *service =
		viw_service(fleet.view.get(), rnk_name_id("desk"));
	std::set<uint64_t> homes;

	for (uint64_t key = 1; key < 200; key++)
		homes.insert(viw_first_home(fleet.view.get(), service, key,
					    rnk_name_id("dc-a"))
				     ->id);
	EXPECT_EQ(homes.size(), 6u);
}

/*
 * A caller that was reset or accepted another target's answer does not
 * acknowledge this one. Its slot must be freed.
 */
TEST(Load, AnUnacknowledgedAnswerFreesItsSlot)
{
	single_service_fleet fleet(17, 1);

	for (uint32_t i = 0; i < 6; i++)
		fleet.send(fleet.add_caller(i), 0);
	fleet.run(10000);
	EXPECT_EQ(fleet.agents[0]->core->in_flight, 6u);
	fleet.run(FLW_UNACKED_US + 2 * FLW_TICK_US);
	EXPECT_EQ(fleet.agents[0]->core->in_flight, 0u);
	uint64_t key = fleet.add_caller(50);
	fleet.send(key, 0);
	fleet.run(10000);
	fleet.request(key, 0);
	fleet.run(50000);
	EXPECT_EQ(fleet.callers[key].answers, 1);
}

/*
 * The home is notified of a refusal, so that it neither places the opening
 * again nor avoids the agent that refused it.
 */
TEST(Load, TheHomeIsNotifiedOfARefusal)
{
	single_service_fleet fleet(18, 2);

	fleet.agents[0]->target->response_us = 3 * SECOND;
	for (uint32_t i = 0; i < 6; i++) {
		uint64_t key = fleet.add_caller(i);

		fleet.deliver(0, key, fake_packet{ fleet.callers[key].head, 0 },
			      1);
		fleet.run(4000);
		fake_packet request = { fleet.callers[key].head, 0 };
		request.head.payload = 50;
		fleet.deliver(0, key, request, 0);
	}
	fleet.heartbeat(*fleet.agents[1],
			true); /* still idle by the home's records */
	uint64_t key = fleet.add_caller(50);
	fleet.deliver(0, key, fake_packet{ fleet.callers[key].head, 0 }, 0);
	fleet.run(300000);
	EXPECT_TRUE(fleet.callers[key].reset);
	EXPECT_EQ(fleet.count_logged("JJ525"), 0u);
}

/*
 * The only peer with room is avoided since its notification of an answer was
 * lost. It must still get openings, as no other peer has room.
 */
TEST(Load, AnAvoidedPeerIsTheLastChoice)
{
	single_service_fleet fleet(18, 2);

	fleet.set_rows("op/evacuate/dc-a", { fleet.draining_row("dc-a") });
	fleet.run(400000);
	fleet.lose_holdings = true;
	fleet.lose_load_reports = true;
	uint64_t first = fleet.add_caller(50);
	fleet.deliver(0, first, fake_packet{ fleet.callers[first].head, 0 }, 0);
	fleet.run(FLW_PLACEMENT_TIMEOUT_US + 2 * FLW_TICK_US);
	ASSERT_EQ(fleet.count_logged("JJ525"), 1u);
	fleet.lose_holdings = false;
	uint64_t next = fleet.add_caller(51);
	fleet.deliver(0, next, fake_packet{ fleet.callers[next].head, 0 }, 0);
	fleet.run(30000);
	EXPECT_TRUE(fleet.callers[next].open);
	EXPECT_FALSE(fleet.callers[next].reset);
}

/*
 * The agent that the balancer takes for the first home may rank lower in the
 * holder's view. It must be notified of the answer all the same.
 */
TEST(Load, TheOriginIsNotifiedOfAnAnswer)
{
	single_service_fleet fleet(19, 5);

	for (uint32_t i = 0; i < 40; i++) {
		uint64_t key = fleet.add_caller(i);

		fleet.deliver(i % 5, key,
			      fake_packet{ fleet.callers[key].head, 0 }, 0);
		fleet.run(150000);
		EXPECT_TRUE(fleet.callers[key].open);
	}
	EXPECT_EQ(fleet.count_logged("JJ525"), 0u);
}

/* Fills a target's slots and queue with requests of response_us each. */
static void fill_target(single_service_fleet &fleet, size_t number,
			uint32_t first, uint64_t response_us)
{
	fleet.agents[number]->target->response_us = response_us;
	for (uint32_t i = first; i < first + 6; i++) {
		uint64_t key = fleet.add_caller(i);

		fleet.deliver(number, key,
			      fake_packet{ fleet.callers[key].head, 0 }, 1);
		fleet.run(4000);
		fake_packet request = { fleet.callers[key].head, 0 };
		request.head.payload = 50;
		fleet.deliver(number, key, request, 0);
	}
}

/* Adds a caller whose flow has the named agent as first home. */
static uint64_t add_caller_with_home(single_service_fleet &fleet,
				     const char *name, uint32_t number)
{
	const struct viw_service *service =
		viw_service(fleet.view.get(), rnk_name_id("desk"));
	uint64_t key;

	do
		key = fleet.add_caller(number++);
	while (viw_first_home(fleet.view.get(), service, key,
			      rnk_name_id("dc-a"))
		       ->id != rnk_name_id(name));
	return key;
}

static size_t count_openings(const single_service_fleet &fleet)
{
	size_t sum = 0;

	for (auto &agent : fleet.agents)
		sum += agent->target->opening_times.size();
	return sum;
}

/* The chosen agent returns the opening to the home, which opens the flow. */
TEST(Load, AnOpeningThatComesBackIsNotPlacedTwice)
{
	single_service_fleet fleet(20, 2);
	uint64_t other = fleet.add_caller(1);

	fleet.deliver(0, other, fake_packet{ fleet.callers[other].head, 0 }, 1);
	fleet.run(30000);
	fleet.heartbeat(*fleet.agents[1],
			true); /* still idle by the home's records */
	uint64_t key = fleet.add_caller(50);
	fleet.deliver(0, key, fake_packet{ fleet.callers[key].head, 0 }, 0);
	fleet.run(200000);
	EXPECT_TRUE(fleet.callers[key].open);
	EXPECT_EQ(fleet.count_logged("JJ525"), 0u);
	EXPECT_EQ(count_openings(fleet), 2u);
}

/* The opening is queued at the chosen agent, which places it at a third. */
TEST(Load, AnOpeningThatWaitedElsewhereIsNotPlacedTwice)
{
	single_service_fleet fleet(21, 3);
	tbl_row route = fleet.route_row("r", "desk", "198.18.0.1:443");

	route.target_latency_ms = 900;
	fleet.set_rows("config", { fleet.service_row("desk"), route });
	fill_target(fleet, 0, 100, 3 * SECOND);
	fill_target(fleet, 2, 200, 90000);
	fleet.run(30000);
	fleet.heartbeat(*fleet.agents[1],
			true); /* still idle by the home's records */
	uint64_t key = add_caller_with_home(fleet, "agent-2", 300);
	fleet.deliver(0, key, fake_packet{ fleet.callers[key].head, 0 }, 0);
	fleet.run(300000);
	EXPECT_EQ(fleet.callers[key].opened_by, "agent-2");
	EXPECT_EQ(fleet.count_logged("JJ525"), 0u);
	EXPECT_EQ(count_openings(fleet), 13u);
}

TEST(Load, ALaterCopyTakesIdleSlotsOnly)
{
	single_service_fleet fleet(15, 1);
	fake_target &target = *fleet.agents[0]->target;

	target.response_us = 1000000;
	for (uint32_t i = 0; i < 4; i++) {
		uint64_t key = fleet.add_caller(i);
		fleet.send(key, 0);
		fleet.run(8000);
		fleet.request(key, 0);
		fleet.run(8000);
	}
	uint64_t late = fleet.add_caller(50);
	fleet.callers[late].head.repeat = 2;
	fleet.send(late, 0);
	uint64_t fresh = fleet.add_caller(51);
	fleet.send(fresh, 0);
	fleet.run(10000);
	EXPECT_FALSE(fleet.callers[late].open);
	EXPECT_TRUE(fleet.callers[fresh].open);
}
