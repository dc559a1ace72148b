/* Gossip traffic when the records of all members change at once. */
#include <gtest/gtest.h>

#include "fleet_fake.h"

/*
 * Every member changes its phase twice, as after a power failure. All members
 * must receive the changes, and after five seconds gossip must have returned to
 * its idle rate, for fleets of several sizes.
 */
class Wave : public testing::TestWithParam<int>
{
};

TEST_P(Wave, UpdatesThatAllMembersHaveAreNoLongerSent)
{
	fake_fleet fleet(8);
	uint64_t before = 0;
	uint64_t after = 0;

	fleet.probe_ms = 300; /* as in deploy/relay.ini */
	fleet.suspect_ms = 900;
	fleet.gossip_ms = 100;
	add_balancers(fleet, GetParam());
	exchange_member_lists(fleet);
	fleet.loss = 0.02;
	for (Jj__Phase phase :
	     { JJ__PHASE__PHASE_COLD, JJ__PHASE__PHASE_WARM }) {
		for (auto &node : fleet.nodes)
			mbr_set_phase(&node->mbr, phase);
		fleet.run_ms(1000);
	}
	fleet.run_ms(5000);
	for (auto &node : fleet.nodes) {
		for (auto &other : fleet.nodes)
			EXPECT_EQ(mbr_find(&node->mbr, other->mbr.members[0].id)
					  ->phase,
				  JJ__PHASE__PHASE_WARM);
		before += node->bytes_out;
	}
	fleet.run_ms(5000);
	for (auto &node : fleet.nodes)
		after += node->bytes_out;
	EXPECT_LT((double)(after - before) / 5 / GetParam(), 3000);
	RecordProperty("wave_bytes", (int)(before / GetParam()));
}

INSTANTIATE_TEST_SUITE_P(Sizes, Wave, testing::Values(30, 100, 300));
