/*
 * Capacity of the table: what it holds depends on what operators have written
 * last, not on how many rows earlier versions had.
 */
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <memory>

#include "table_replica.h"

/* A configuration of size services whose names no other version has. */
static config version_of(int version, int size)
{
	config services;

	for (int i = 0; i < size; i++)
		services["v" + std::to_string(version) + "-" +
			 std::to_string(i)] = (uint32_t)version;
	return services;
}

struct history {
	const char *name;
	uint32_t capacity;
	int versions;
	int size; /* services of each version, none of which an earlier one has */
};

static const history histories[] = {
	{ "as large as the table allows", 64, 5, 60 },
	{ "many small ones", 64, 100, 20 },
	{ "more names than the default capacity", 0, 60, 350 },
};

/*
 * Guards against a table that is full of removed rows: a later version was
 * rejected as a whole, and routes that it had removed were still served.
 */
TEST(Capacity, EachVersionTakesHoldWhateverCameBefore)
{
	for (auto &h : histories) {
		SCOPED_TRACE(h.name);
		operators_store store;
		replica reader(h.capacity);
		replica peer(h.capacity);
		replica late(h.capacity);
		replica started(h.capacity);

		for (int v = 1; v <= h.versions; v++) {
			store.set_config(version_of(v, h.size));
			reader.list(store, 0);
			peer.pull(reader);
			if (v == 2)
				late.pull(reader);
		}
		late.pull(reader);
		started.pull(peer);
		EXPECT_EQ(reader.services(), store.services);
		EXPECT_EQ(peer.services(), store.services);
		EXPECT_EQ(late.services(), store.services);
		EXPECT_EQ(started.services(), store.services);
	}
}

/*
 * Guards against a process without any table after a start, since one row did
 * not fit, and against an evacuation that finds the table full.
 */
TEST(Capacity, RowsThatFitAreServedInOrderWhenOthersDoNot)
{
	operators_store store;
	replica reader(64);
	replica peer(64);
	config in_force;

	store.set_config(version_of(1, 100));
	reader.list(store, 0, JJ_FULL);
	in_force = reader.services();
	ASSERT_GT(in_force.size(), 50u);
	EXPECT_EQ(in_force,
		  config(store.services.begin(),
			 std::next(store.services.begin(), in_force.size())));
	store.evacuate("z0");
	reader.list(store, 0, JJ_FULL);
	EXPECT_EQ(reader.services(), in_force);
	EXPECT_EQ(reader.evacuated(), (std::set<std::string>{ "z0" }));
	peer.pull(reader);
	EXPECT_EQ(peer.services(), in_force);
	store.set_config(version_of(2, 10));
	reader.list(store, 0);
	peer.pull(reader);
	EXPECT_EQ(reader.services(), store.services);
	EXPECT_EQ(peer.services(), store.services);
}

/* Guards against an evacuation that a full table drops again. */
TEST(Capacity, AMergeOfALargerTableLeavesRoomForEvacuations)
{
	operators_store store;
	replica reader(128);
	replica peer(64);

	store.set_config(version_of(1, 100));
	reader.list(store, 0);
	EXPECT_EQ(peer.merge(reader, 0), JJ_FULL);
	store.evacuate("z0");
	peer.list(store, 0, JJ_FULL);
	EXPECT_EQ(peer.evacuated(), (std::set<std::string>{ "z0" }));
	EXPECT_GT(peer.services().size(), 50u);
}

/*
 * Guards against routes that return: a restored store has them, and no row that
 * tells of their removal is left in the fleet.
 */
TEST(Capacity, ARemovalOutlastsItsTombstonesAndARestore)
{
	operators_store store;
	replica reader(64);
	replica started(64);
	config all = version_of(1, 50);
	config kept(all.begin(), std::next(all.begin(), 10));

	store.set_config(all);
	store.copy = store.now;
	reader.list(store, 0);
	store.set_config(kept);
	reader.list(store, 0);
	for (int i = 0; i < 54; i++)
		store.evacuate("z" + std::to_string(i));
	reader.list(store, 0);
	EXPECT_EQ(reader.evacuated().size(), 54u);
	for (int i = 0; i < 54; i++)
		store.take_back("z" + std::to_string(i));
	reader.list(store, 0);
	store.restore();
	started.list(store, 1);
	EXPECT_EQ(started.services(), all);
	reader.list(store, 1);
	EXPECT_EQ(reader.services(), kept);
	started.pull(reader);
	EXPECT_EQ(started.services(), kept);
}

/* Small tables, of which one reads the store: whatever comes, all agree. */
RC_GTEST_PROP(Capacity, SmallTablesConverge,
	      (std::vector<std::pair<uint8_t, uint8_t>> steps))
{
	operators_store store;
	std::vector<std::unique_ptr<replica>> all;

	for (int i = 0; i < 4; i++)
		all.push_back(std::make_unique<replica>(24));
	for (auto &step : steps) {
		replica &one = *all[step.second % 4];
		std::string zone = step.second % 2 ? "z1" : "z0";

		switch (step.first % 6) {
		case 0:
		case 1:
			store.set_config(
				version_of(step.second, step.first / 6 % 20));
			break;
		case 2:
			one.list(store, 0);
			break;
		case 3:
			one.pull(*all[(step.second / 4u) % 4]);
			break;
		case 4:
			all[step.second % 4] = std::make_unique<replica>(24);
			break;
		case 5:
			if (step.second & 2)
				store.evacuate(zone);
			else
				store.take_back(zone);
			break;
		}
		for (auto &table : all)
			RC_ASSERT(table->tbl.count <= 24u);
	}
	store.set_config(version_of(300, 20));
	all[0]->list(store, 0);
	for (int round = 0; round < 4; round++)
		for (auto &to : all)
			for (auto &from : all)
				to->pull(*from);
	for (auto &table : all) {
		RC_ASSERT(table->services() == store.services);
		table->list(store, 0);
		RC_ASSERT(table->evacuated() == store.evacuated);
	}
}

/* Guards against deployed settings that are far below the size to design for. */
TEST(Capacity, DeployedSettingsHoldTheLargestConfigurations)
{
	for (auto *name : { "relay.ini", "relay-agent.ini" }) {
		std::ifstream in(std::string(SOURCE_DIR "/deploy/") + name);
		std::string line;

		ASSERT_TRUE(in) << name;
		while (std::getline(in, line))
			if (line.rfind("rows_max = ", 0) == 0)
				EXPECT_GT(std::stoi(line.substr(11)), 16000)
					<< name;
	}
}
