/* Admission against model targets with a cold limit. */
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <queue>
#include <random>

extern "C" {
#include "jujube/admit.h"
}

/*
 * A target whose service time triples while it is cold, and grows further
 * when it is given more than its cold limit. It falls over when it is kept
 * above that limit for a second.
 */
struct model_target {
	std::mt19937 rng;
	double mean_us = 40000;
	uint32_t cold_limit = 2;
	int cold_answers = 0;
	uint64_t now = 0;
	uint64_t over_since = 0;
	bool fell = false;
	uint32_t most_when_cold = 0;
	std::multimap<uint64_t, uint64_t> running; /* end -> start */

	explicit model_target(unsigned seed) : rng(seed)
	{
	}
	void start()
	{
		std::lognormal_distribution<> spread(-0.18, 0.6);
		double us = mean_us * spread(rng);
		size_t n = running.size() + 1;

		if (cold_answers > 0) {
			us *= 3;
			most_when_cold = std::max(most_when_cold, (uint32_t)n);
			if (n > cold_limit)
				us *= (double)(n * n) /
				      (cold_limit * cold_limit);
		}
		if (cold_answers > 0 && n > cold_limit) {
			if (!over_since)
				over_since = now;
			if (now - over_since > 1000000)
				fell = true;
		} else {
			over_since = 0;
		}
		running.emplace(now + (uint64_t)us, now);
	}
	/* Ends the next request; returns its service time. */
	uint64_t end_next()
	{
		auto next = running.begin();
		uint64_t took = next->first - next->second;

		now = next->first;
		running.erase(next);
		if (cold_answers > 0)
			cold_answers--;
		return took;
	}
};

static void end_one(struct adm *adm, model_target &target)
{
	uint64_t took = target.end_next();

	adm_done(adm, took, ADM_ANSWERED, target.now);
}

/* Keeps as much in flight as admission allows, for count answers. */
static void saturate(struct adm *adm, model_target &target, int count)
{
	uint64_t handle = 0;

	while (count-- > 0) {
		while (adm_request(adm, ++handle, target.now) == ADM_START)
			target.start();
		uint64_t next;
		while (adm_start_next(adm, &next, target.now))
			target.start();
		if (target.running.empty())
			return;
		end_one(adm, target);
		while (adm_start_next(adm, &next, target.now))
			target.start();
	}
}

struct admission : testing::Test {
	struct adm adm;
	adm_limits limits = { 5, 1, 4 };

	void SetUp() override
	{
		adm_init(&adm, &limits);
	}
	void TearDown() override
	{
		adm_finish(&adm);
	}
};

TEST_F(admission, NeverMoreThanTheCapInFlightAndTheQueueIsBounded)
{
	EXPECT_EQ(adm_request(&adm, 1, 0), ADM_START);
	for (uint64_t i = 2; i <= 5; i++)
		EXPECT_EQ(adm_request(&adm, i, 0), ADM_WAIT);
	EXPECT_EQ(adm_request(&adm, 6, 0), ADM_FULL);
	uint64_t handle;
	EXPECT_FALSE(adm_start_next(&adm, &handle, 1000));
	adm_done(&adm, 1000, ADM_ANSWERED, 1000);
	ASSERT_TRUE(adm_start_next(&adm, &handle, 1000));
	EXPECT_EQ(handle, 2u);
	EXPECT_FALSE(adm_start_next(&adm, &handle, 1000));
}

TEST_F(admission, ATargetThatSaysItIsColdStaysAtItsColdLimit)
{
	model_target target(1);

	target.cold_answers = 1000;
	adm_set_reported_cold(&adm, 1);
	saturate(&adm, target, 200);
	EXPECT_EQ(target.most_when_cold, 1u);
	adm_set_reported_cold(&adm, 0);
	target.cold_answers = 0;
	saturate(&adm, target, 400);
	EXPECT_TRUE(adm_state(&adm).warm);
}

/* Cold start of a liar: warm peers show what in time means. */
TEST_F(admission, ALyingColdTargetIsHeldByWhatWarmPeersTake)
{
	for (unsigned seed = 0; seed < 50; seed++) {
		model_target target(seed);

		adm_mark_cold(&adm);
		adm_set_peer_median(&adm, 33000);
		target.cold_answers = 60;
		saturate(&adm, target, 55);
		EXPECT_FALSE(target.fell) << seed;
		saturate(&adm, target, 400);
		EXPECT_FALSE(target.fell) << seed;
		EXPECT_TRUE(adm_state(&adm).warm) << seed;
		while (!target.running.empty())
			end_one(&adm, target);
		uint64_t handle;
		while (adm_start_next(&adm, &handle, 1000))
			adm_done(&adm, 0, ADM_CANCELLED, target.now);
	}
}

/* Everything cold at once, nobody to compare with, and all of them lie. */
TEST_F(admission, ALyingColdTargetWithoutPeersDoesNotFallOver)
{
	for (unsigned seed = 0; seed < 50; seed++) {
		struct adm fresh;
		model_target target(seed);

		adm_init(&fresh, &limits);
		target.cold_answers = 40;
		saturate(&fresh, target, 400);
		EXPECT_FALSE(target.fell) << seed;
		EXPECT_TRUE(adm_state(&fresh).warm) << seed;
		adm_finish(&fresh);
	}
}

TEST_F(admission, ColdAgainWithoutWarningIsNoticedInTime)
{
	for (unsigned seed = 0; seed < 50; seed++) {
		struct adm fresh;
		model_target target(seed);

		adm_init(&fresh, &limits);
		adm_set_peer_median(&fresh, 33000);
		saturate(&fresh, target, 400);
		ASSERT_TRUE(adm_state(&fresh).warm) << seed;
		target.cold_answers = 60;
		saturate(&fresh, target, 60);
		EXPECT_FALSE(target.fell) << seed;
		saturate(&fresh, target, 400);
		EXPECT_TRUE(adm_state(&fresh).warm) << seed;
		adm_finish(&fresh);
	}
}

/* Cold for long: late stages must not pass for a slower machine too soon. */
TEST_F(admission, ALongColdStartIsNotTakenForASlowerMachine)
{
	for (unsigned seed = 0; seed < 50; seed++) {
		struct adm fresh;
		model_target target(seed);

		adm_init(&fresh, &limits);
		adm_set_peer_median(&fresh, 33000);
		target.cold_answers = 300;
		saturate(&fresh, target, 800);
		EXPECT_FALSE(target.fell) << seed;
		EXPECT_TRUE(adm_state(&fresh).warm) << seed;
		adm_finish(&fresh);
	}
}

TEST_F(admission, ASlowerMachineWarmsUpByItsOwnTimes)
{
	model_target target(3);

	adm_set_peer_median(&adm, 10000); /* its peers take a quarter */
	saturate(&adm, target, 1500);
	EXPECT_TRUE(adm_state(&adm).warm);
}

TEST_F(admission, SheddingAndSilenceHalveTheCap)
{
	model_target target(4);

	saturate(&adm, target, 400);
	ASSERT_EQ(adm_state(&adm).cap, 5u);
	adm_done(&adm, 0, ADM_OVERLOADED, target.now);
	EXPECT_EQ(adm_state(&adm).cap, 2u);
	adm_done(&adm, 0, ADM_NO_ANSWER, target.now);
	EXPECT_EQ(adm_state(&adm).cap, 1u);
}

struct limits_case {
	adm_limits limits;
	jj_status status;
};

TEST(AdmissionLimits, Cases)
{
	const limits_case cases[] = {
		{ { 0, 0, 0 }, JJ_OK },
		{ { 5, 6, 0 }, JJ_INVALID },
		{ { 5, 5, ADM_QUEUE_MAX + 1 }, JJ_INVALID },
	};

	for (limits_case c : cases)
		EXPECT_EQ(adm_resolve(&c.limits, nullptr), c.status);
}
