/* Admission control, with a model of a target that has a cold limit. */
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <queue>
#include <random>

extern "C" {
#include "jujube/admit.h"
}

/*
 * Model of a target. While cold, its service time is three times as long, and
 * longer still if more requests than the cold limit are in flight. More than a
 * second above that limit overloads it.
 */
struct model_target {
	std::mt19937 rng;
	double mean_us = 40000;
	uint32_t cold_limit = 2;
	int cold_answers = 0;
	uint64_t now = 0;
	uint64_t overload_since = 0;
	bool overloaded = false;
	uint32_t max_in_flight_cold = 0;
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
			max_in_flight_cold =
				std::max(max_in_flight_cold, (uint32_t)n);
			if (n > cold_limit)
				us *= (double)(n * n) /
				      (cold_limit * cold_limit);
		}
		if (cold_answers > 0 && n > cold_limit) {
			if (!overload_since)
				overload_since = now;
			if (now - overload_since > 1000000)
				overloaded = true;
		} else {
			overload_since = 0;
		}
		running.emplace(now + (uint64_t)us, now);
	}
	/* Completes the next request; returns its service time. */
	uint64_t complete_next()
	{
		auto next = running.begin();
		uint64_t service_us = next->first - next->second;

		now = next->first;
		running.erase(next);
		if (cold_answers > 0)
			cold_answers--;
		return service_us;
	}
};

static void finish_next(struct adm *adm, model_target &target)
{
	uint64_t service_us = target.complete_next();

	adm_done(adm, service_us, ADM_ANSWERED, target.now);
}

/* Keeps as many requests in flight as admission allows, for count answers. */
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
		finish_next(adm, target);
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

TEST_F(admission, InFlightIsCappedAndTheQueueIsBounded)
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

TEST_F(admission, ATargetThatReportsColdStaysAtItsColdLimit)
{
	model_target target(1);

	target.cold_answers = 1000;
	adm_set_reported_cold(&adm, 1);
	saturate(&adm, target, 200);
	EXPECT_EQ(target.max_in_flight_cold, 1u);
	adm_set_reported_cold(&adm, 0);
	target.cold_answers = 0;
	saturate(&adm, target, 400);
	EXPECT_TRUE(adm_state(&adm).warm);
}

/*
 * The target doesn't report that it is cold; the times of its warm peers are
 * the reference for answers in time.
 */
TEST_F(admission, AnUnreportedColdStartIsLimitedByPeerTimes)
{
	for (unsigned seed = 0; seed < 50; seed++) {
		model_target target(seed);

		adm_mark_cold(&adm);
		adm_set_peer_median(&adm, 33000);
		target.cold_answers = 60;
		saturate(&adm, target, 55);
		EXPECT_FALSE(target.overloaded) << seed;
		saturate(&adm, target, 400);
		EXPECT_FALSE(target.overloaded) << seed;
		EXPECT_TRUE(adm_state(&adm).warm) << seed;
		while (!target.running.empty())
			finish_next(&adm, target);
		uint64_t handle;
		while (adm_start_next(&adm, &handle, 1000))
			adm_done(&adm, 0, ADM_CANCELLED, target.now);
	}
}

/*
 * All targets are cold at the same time and none reports it, so there are no
 * warm peers to compare with.
 */
TEST_F(admission, AnUnreportedColdStartWithoutPeersCausesNoOverload)
{
	for (unsigned seed = 0; seed < 50; seed++) {
		struct adm fresh;
		model_target target(seed);

		adm_init(&fresh, &limits);
		target.cold_answers = 40;
		saturate(&fresh, target, 400);
		EXPECT_FALSE(target.overloaded) << seed;
		EXPECT_TRUE(adm_state(&fresh).warm) << seed;
		adm_finish(&fresh);
	}
}

TEST_F(admission, ColdAgainWithoutAReportIsDetectedInTime)
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
		EXPECT_FALSE(target.overloaded) << seed;
		saturate(&fresh, target, 400);
		EXPECT_TRUE(adm_state(&fresh).warm) << seed;
		adm_finish(&fresh);
	}
}

/*
 * In a long cold start, many stages are late. The target must not be taken for
 * one on a slower host, which drops the reference, too early.
 */
TEST_F(admission, ALongColdStartIsNotTakenForASlowerHost)
{
	for (unsigned seed = 0; seed < 50; seed++) {
		struct adm fresh;
		model_target target(seed);

		adm_init(&fresh, &limits);
		adm_set_peer_median(&fresh, 33000);
		target.cold_answers = 300;
		saturate(&fresh, target, 800);
		EXPECT_FALSE(target.overloaded) << seed;
		EXPECT_TRUE(adm_state(&fresh).warm) << seed;
		adm_finish(&fresh);
	}
}

TEST_F(admission, ASlowerHostWarmsUpByItsOwnTimes)
{
	model_target target(3);

	adm_set_peer_median(&adm, 10000); /* a quarter of this target's */
	saturate(&adm, target, 1500);
	EXPECT_TRUE(adm_state(&adm).warm);
}

TEST_F(admission, AnOverloadReplyOrNoAnswerHalvesTheCap)
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
