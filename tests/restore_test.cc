/*
 * Tables read from a store that is restored from older copies: it loses
 * acknowledged changes and gives their revisions out again.
 */
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <memory>

#include "table_replica.h"

struct restored_store : testing::Test {
	operators_store store;
	replica a;
	replica b;

	/* Version 2 is in the copy, version 4 only in the tables. */
	void SetUp() override
	{
		store.set_config({ { "desk", 1 }, { "vault", 1 } });
		store.copy = store.now;
		store.set_config({ { "desk", 2 } });
		store.evacuate("z0");
		a.list(store, 1);
		b.list(store, 1);
		store.restore();
	}
};

/* The change has the revision of one that both tables knew and lost. */
TEST_F(restored_store, AChangeAtAReissuedRevisionReachesPeers)
{
	store.write_again();
	store.take_back("z0");
	store.set_config({ { "desk", 3 } });
	a.list(store, 1);
	b.pull(a);
	EXPECT_EQ(a.services(), (config{ { "desk", 3 } }));
	EXPECT_EQ(b.services(), (config{ { "desk", 3 } }));
}

/* It has no version, so that only the era tells it from what was lost. */
TEST_F(restored_store, AnEvacuationAtAReissuedRevisionReachesPeers)
{
	store.evacuate("z1");
	a.list(store, 1);
	b.pull(a);
	EXPECT_EQ(a.evacuated(), (std::set<std::string>{ "z0", "z1" }));
	EXPECT_EQ(b.evacuated(), (std::set<std::string>{ "z0", "z1" }));
}

TEST_F(restored_store, TheOlderCopyReplacesNothing)
{
	a.list(store, 1);
	EXPECT_EQ(a.services(), (config{ { "desk", 2 } }));
	EXPECT_EQ(a.evacuated(), (std::set<std::string>{ "z0" }));
}

TEST_F(restored_store, AProcessThatKnowsOnlyTheCopyLearnsWhatIsLost)
{
	replica started;

	started.list(store, 1);
	EXPECT_EQ(started.services(),
		  (config{ { "desk", 1 }, { "vault", 1 } }));
	/* It spreads the copy first, as its revision is of the new era. */
	b.pull(started);
	EXPECT_EQ(b.services(), (config{ { "desk", 2 } }));
	started.pull(b);
	EXPECT_EQ(started.services(), (config{ { "desk", 2 } }));
	a.list(store, 1);
	started.pull(a);
	EXPECT_EQ(started.evacuated(), (std::set<std::string>{ "z0" }));
}

TEST_F(restored_store, HeldRowsEndWithTheHold)
{
	a.list(store, 1);
	a.list(store, 1);
	EXPECT_EQ(a.evacuated(), (std::set<std::string>{ "z0" }));
	b.pull(a);
	a.list(store, 0);
	b.pull(a);
	EXPECT_TRUE(a.evacuated().empty());
	EXPECT_TRUE(b.evacuated().empty());
	/* A lost version ends only with a higher one. */
	EXPECT_EQ(a.services(), (config{ { "desk", 2 } }));
}

TEST_F(restored_store, RowsWrittenInTheNewEraAreNotHeld)
{
	store.write_again();
	store.evacuate("z1");
	a.list(store, 1);
	store.take_back("z1");
	a.list(store, 1);
	EXPECT_EQ(a.evacuated(), (std::set<std::string>{ "z0" }));
}

/* A held row must be above the revision of every process that read the copy. */
TEST_F(restored_store, ManyHeldRowsShareOneRevision)
{
	config large;
	replica started;

	for (int i = 0; i < 40; i++)
		large["s" + std::to_string(i)] = 1;
	large["desk"] = 3;
	large["vault"] = 3;
	store.era--;
	store.set_config(large);
	a.list(store, 1);
	store.restore();
	started.list(store, 1);
	a.list(store, 1);
	started.pull(a);
	EXPECT_EQ(started.services(), large);
	/* One for the configuration, one for the evacuation. */
	EXPECT_EQ(a.tbl.revision,
		  tbl_compose_revision(store.era, store.now.revision) + 2);
}

/*
 * A table that has read versions 4 and 8 cannot tell its peers what version 6
 * had changed.
 */
TEST(Versions, AMissedOneLeavesNoRowBehindAtPeers)
{
	operators_store store;
	replica reader;
	replica peer;

	store.set_config({ { "desk", 1 }, { "vault", 1 } });
	reader.list(store, 0);
	peer.pull(reader);
	store.set_config({ { "desk", 2 }, { "vault", 1 }, { "attic", 1 } });
	peer.list(store, 0);
	store.set_config({ { "desk", 1 }, { "vault", 2 } });
	reader.list(store, 0);
	peer.pull(reader);
	EXPECT_EQ(peer.services(), store.services);
}

/*
 * One of the tables reads the store, the others pull. Whatever operators write
 * and the store forgets: once operators have written again, all agree with
 * them, and no table returns to an older version in between.
 */
RC_GTEST_PROP(Restored, TablesConvergeOnWhatOperatorsWant,
	      (std::vector<std::pair<uint8_t, uint8_t>> steps))
{
	operators_store store;
	std::vector<std::unique_ptr<replica>> all;
	std::map<replica *, uint32_t> highest;

	for (int i = 0; i < 4; i++)
		all.push_back(std::make_unique<replica>());
	store.set_config({ { "desk", 0 } });
	store.copy = store.now;
	for (auto &step : steps) {
		replica &one = *all[step.second % 4];
		std::string zone = step.second % 2 ? "z1" : "z0";

		switch (step.first % 10) {
		case 0:
		case 1:
			/*
			 * The limit of desk is the version. Versions add,
			 * change, change back and remove a second row.
			 */
			store.set_config(
				{ { "desk", (uint32_t)store.version + 2 },
				  { "s" + std::to_string(step.second % 3),
				    step.second / 3u % 3 } });
			break;
		case 2:
			store.evacuate(zone);
			break;
		case 3:
			store.take_back(zone);
			break;
		case 4:
			store.copy = store.now;
			break;
		case 5:
			store.restore();
			break;
		case 6:
			store.write_again();
			break;
		case 7:
			one.list(store, 1);
			break;
		case 8:
			one.pull(*all[(step.second / 4u) % 4]);
			break;
		case 9:
			highest.erase(&one);
			all[step.second % 4] = std::make_unique<replica>();
			break;
		}
		for (auto &table : all) {
			config services = table->services();
			uint32_t version =
				services.count("desk") ? services["desk"] : 0;

			RC_ASSERT(version >= highest[table.get()]);
			highest[table.get()] = version;
		}
	}
	store.write_again();
	store.set_config({ { "desk", (uint32_t)store.version + 2 } });
	all[0]->list(store, 0);
	for (int round = 0; round < 8; round++)
		for (auto &to : all)
			for (auto &from : all)
				to->pull(*from);
	for (auto &table : all)
		RC_ASSERT(table->services() == store.services);
	/* Evacuations have no version: each process compares them itself. */
	for (auto &table : all)
		table->list(store, 0);
	for (auto &table : all)
		RC_ASSERT(table->evacuated() == store.evacuated);
}
