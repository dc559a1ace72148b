/* Small modules: map, rank, frame, ledger, route, settings, speed, health, log. */
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <set>
#include <sstream>

#include "test_helpers.h"
#include "naive/naive.h"

extern "C" {
#include "jujube/frame.h"
#include "jujube/health.h"
#include "jujube/ledger.h"
#include "jujube/log.h"
#include "jujube/map.h"
#include "jujube/rank.h"
#include "jujube/route.h"
#include "jujube/settings.h"
#include "jujube/speed.h"
}

/* -- map ----------------------------------------------------------------- */

RC_GTEST_PROP(Map, AgreesWithStdMap,
	      (std::vector<std::pair<uint8_t, bool>> ops))
{
	std::vector<map_cell> cells(32);
	std::map<uint64_t, uint32_t> model;
	struct map map;

	map_init(&map, cells.data(), 32);
	for (auto &[value, put] : ops) {
		/* few distinct cells, so that probe runs form and wrap */
		uint64_t key =
			(uint64_t)(value % 48) * 0x100000007ull + value % 7;

		if (put) {
			bool room = model.count(key) || model.size() < 24;
			RC_ASSERT(map_put(&map, key, value) ==
				  (room ? JJ_OK : JJ_FULL));
			if (room)
				model[key] = value;
		} else {
			map_del(&map, key);
			model.erase(key);
		}
		for (auto &[k, v] : model)
			RC_ASSERT(map_get(&map, k) == v);
		RC_ASSERT(map.count == model.size());
	}
}

/* -- rank ---------------------------------------------------------------- */

static std::vector<rnk_node> nodes_of(int count, uint32_t weight)
{
	std::vector<rnk_node> nodes;

	for (int i = 0; i < count; i++)
		nodes.push_back(
			{ rnk_name_id(("n" + std::to_string(i)).c_str()),
			  weight });
	return nodes;
}

RC_GTEST_PROP(Rank, OrderAgreesWithRepeatedFirst,
	      (uint64_t key, std::vector<uint8_t> weights))
{
	std::vector<rnk_node> nodes;
	std::vector<rnk_node> remaining;
	int order[16];

	for (size_t i = 0; i < weights.size() && i < 16; i++)
		nodes.push_back(
			{ rnk_name_id(std::to_string(i).c_str()), weights[i] });
	remaining = nodes;
	int count = rnk_order(nodes.data(), (int)nodes.size(), key, order, 16);
	for (int i = 0; i < count; i++) {
		int first =
			rnk_first(remaining.data(), (int)remaining.size(), key);
		RC_ASSERT(first == order[i]);
		remaining[first].weight = 0;
	}
	RC_ASSERT(rnk_first(remaining.data(), (int)remaining.size(), key) ==
		  -1);
}

TEST(Rank, SharesFollowWeights)
{
	std::vector<rnk_node> nodes = nodes_of(4, 100);
	int counts[4] = { 0 };

	nodes[1].weight = 300;
	nodes[3].weight = 0;
	for (uint64_t key = 1; key <= 50000; key++)
		counts[rnk_first(nodes.data(), 4, rnk_hash(&key, 8))]++;
	EXPECT_NEAR(counts[0], 10000, 500);
	EXPECT_NEAR(counts[1], 30000, 500);
	EXPECT_NEAR(counts[2], 10000, 500);
	EXPECT_EQ(counts[3], 0);
}

TEST(Rank, RemovingANodeMovesOnlyItsKeys)
{
	std::vector<rnk_node> before = nodes_of(7, 100);
	std::vector<rnk_node> after = before;

	after[2].weight = 0;
	for (uint64_t key = 1; key <= 5000; key++) {
		uint64_t h = rnk_hash(&key, 8);
		int a = rnk_first(before.data(), 7, h);
		int b = rnk_first(after.data(), 7, h);
		EXPECT_TRUE(a == b || a == 2);
	}
}

/* -- frame --------------------------------------------------------------- */

struct frame_fixture : testing::Test {
	frm_key key;
	frm_replay replay;
	frm_sender out = {};
	std::atomic<uint64_t> incarnation{ 5 };
	uint8_t buf[FRM_MAX_DATAGRAM];

	void SetUp() override
	{
		ASSERT_EQ(frm_key_parse(&key,
					"000102030405060708090a0b0c0d0e0f",
					nullptr),
			  JJ_OK);
		ASSERT_TRUE(frm_replay_init(&replay, 64));
		out.key = &key;
		out.sender = 7;
		out.incarnation = &incarnation;
	}
	void TearDown() override
	{
		frm_replay_finish(&replay);
	}
	size_t seal()
	{
		Jj__Envelope env;
		Jj__Ping ping;

		jj__envelope__init(&env);
		jj__ping__init(&ping);
		env.body_case = JJ__ENVELOPE__BODY_PING;
		env.ping = &ping;
		ping.seq = 9;
		return frm_seal(&out, &env, buf, sizeof(buf));
	}
	jj_status open(size_t len)
	{
		Jj__Envelope *env = nullptr;
		jj_status status =
			frm_open(&key, &replay, nullptr, buf, len, &env);
		if (env)
			jj__envelope__free_unpacked(env, nullptr);
		return status;
	}
};

TEST_F(frame_fixture, AReplayIsRejected)
{
	size_t len = seal();

	ASSERT_GT(len, 0u);
	EXPECT_EQ(open(len), JJ_OK);
	EXPECT_EQ(open(len), JJ_REPLAYED);
}

TEST_F(frame_fixture, EveryFlippedBitAndEveryTruncationIsRejected)
{
	size_t len = seal();

	for (size_t i = 0; i < len * 8; i++) {
		buf[i / 8] ^= 1 << i % 8;
		EXPECT_EQ(open(len), JJ_UNAUTHENTICATED) << i;
		buf[i / 8] ^= 1 << i % 8;
	}
	for (size_t cut = 0; cut < len; cut++)
		EXPECT_NE(open(cut), JJ_OK) << cut;
	EXPECT_EQ(open(len), JJ_OK);
}

TEST_F(frame_fixture, AnOlderIncarnationIsRejectedAfterANewerOne)
{
	uint8_t old[FRM_MAX_DATAGRAM];
	size_t len = seal();

	memcpy(old, buf, len);
	incarnation = 6;
	EXPECT_EQ(open(seal()), JJ_OK);
	memcpy(buf, old, len);
	EXPECT_EQ(open(len), JJ_REPLAYED);
}

RC_GTEST_PROP(Frame, ReplayWindowAgreesWithASet,
	      (std::vector<uint16_t> counters))
{
	frm_key key = {};
	frm_replay replay;
	naive::replay model;
	uint64_t highest = 0;
	std::atomic<uint64_t> one{ 1 };

	RC_ASSERT(frm_replay_init(&replay, 64));
	for (uint16_t value : counters) {
		uint64_t counter = value % 4000 + 1;
		frm_sender out = {};
		uint8_t buf[256];
		Jj__Envelope env;
		Jj__Envelope *got = nullptr;

		out.key = &key;
		out.sender = 3;
		out.incarnation = &one;
		out.counter = counter - 1;
		jj__envelope__init(&env);
		size_t len = frm_seal(&out, &env, buf, sizeof(buf));
		bool ok = frm_open(&key, &replay, nullptr, buf, len, &got) ==
			  JJ_OK;
		if (got)
			jj__envelope__free_unpacked(got, nullptr);
		/*
		 * Within the window the result is that of a set; counters
		 * below it are always rejected.
		 */
		if (counter + FRM_REPLAY_WINDOW <= highest)
			RC_ASSERT(!ok);
		else
			RC_ASSERT(ok == model.admit(3, counter));
		highest = std::max(highest, counter);
	}
	frm_replay_finish(&replay);
}

/* -- ledger -------------------------------------------------------------- */

RC_GTEST_PROP(Ledger, AgreesWithTheNaiveModel,
	      (std::vector<std::tuple<uint8_t, uint8_t, uint16_t>> ops))
{
	naive::ledger model;
	struct ldg ldg;
	uint64_t now = 1;

	RC_ASSERT(ldg_init(&ldg, 16, 8 * LDG_ANSWER_MAX) == JJ_OK);
	for (auto &[what, id_raw, arg] : ops) {
		uint64_t id = rnk_hash(&id_raw, 1) | 1;
		struct ldg_entry *entry;

		now += arg;
		ldg_expire(&ldg, now);
		model.expire(now, LDG_RETENTION_MS, LDG_PENDING);
		entry = ldg_find(&ldg, id);
		RC_ASSERT((entry != nullptr) == (model.entries.count(id) > 0));
		if (!entry && what % 3 == 0) {
			entry = ldg_add(&ldg, id, id, now);
			if (model.entries.size() >= 16)
				RC_ASSERT(!entry);
			if (entry)
				model.entries[id] = { LDG_PENDING, "", now };
		} else if (entry && entry->state == LDG_PENDING &&
			   what % 3 == 1) {
			std::string answer(arg % LDG_ANSWER_MAX, (char)id_raw);

			ldg_set_outcome(&ldg, entry, LDG_ANSWERED,
					(const uint8_t *)answer.data(),
					answer.size());
			model.entries[id].state = LDG_ANSWERED;
			model.entries[id].answer = answer;
		}
		for (auto &[k, e] : model.entries) {
			uint8_t buf[LDG_ANSWER_MAX];
			struct ldg_entry *found = ldg_find(&ldg, k);
			size_t len;

			RC_ASSERT(found != nullptr);
			RC_ASSERT(found->state == e.state);
			len = ldg_copy_answer(&ldg, found, buf, sizeof(buf));
			RC_ASSERT(std::string((char *)buf, len) == e.answer);
		}
	}
	ldg_finish(&ldg);
}

/*
 * A thread reads the clock before it takes the lock and may be preempted in
 * between. An entry can therefore be newer than the time passed as now.
 */
TEST(Ledger, AnEntryNewerThanNowIsNotExpired)
{
	struct ldg ldg;

	ASSERT_EQ(ldg_init(&ldg, 16, 1 << 16), JJ_OK);
	ldg_set_outcome(&ldg, ldg_add(&ldg, 5, 5, 1000), LDG_REFUSED, nullptr,
			0);
	ldg_expire(&ldg, 999);
	EXPECT_NE(ldg_find(&ldg, 5), nullptr);
	ldg_expire(&ldg, 1000 + LDG_RETENTION_MS - 1);
	EXPECT_NE(ldg_find(&ldg, 5), nullptr);
	ldg_expire(&ldg, 1000 + LDG_RETENTION_MS);
	EXPECT_EQ(ldg_find(&ldg, 5), nullptr);
	ldg_finish(&ldg);
}

TEST(Route, AConfirmationNewerThanNowDoesNotFence)
{
	struct rt_desc desc = {};
	struct rt rt;

	ASSERT_EQ(rt_init(&rt, &desc), JJ_OK);
	EXPECT_FALSE(rt_fenced(&rt, 1000, 999, 3));
	EXPECT_FALSE(rt_fenced(&rt, 1000, 4000, 3));
	EXPECT_TRUE(rt_fenced(&rt, 1000, 4001, 3));
	EXPECT_FALSE(rt_fenced(&rt, 0, 9000, 0));
	rt_finish(&rt);
}

/* -- settings ------------------------------------------------------------ */

static const char good_operator[] = "[operator]\nadmin = 127.0.0.1:8080\n"
				    "token = 12345678\n";

struct settings_case {
	const char *name;
	std::string text;
	const char *reason; /* part of the error, null: valid */
};

static const settings_case settings_cases[] = {
	{ "Good", good_operator, nullptr },
	{ "UnknownKey", std::string(good_operator) + "colour = red\n",
	  "x.ini:4: unknown key 'colour'" },
	{ "UnknownSection", std::string(good_operator) + "[extra]\na = 1\n",
	  "x.ini:5: unknown section [extra]" },
	{ "NotANumber", std::string(good_operator) + "timeout_s = soon\n",
	  "x.ini:4: operator.timeout_s: 'soon' is not a number" },
	{ "OutOfRange", std::string(good_operator) + "timeout_s = 601\n",
	  "x.ini:4: operator.timeout_s: 601 is not between 1 and 600" },
	{ "Negative", std::string(good_operator) + "timeout_s = -1\n",
	  "'-1' is not a number" },
	{ "Twice", std::string(good_operator) + "token = 87654321\n",
	  "x.ini:4: operator.token is given twice" },
	{ "Missing", "[operator]\ntoken = 12345678\n",
	  "x.ini: [operator] must set 'admin'" },
	{ "BadAddress", "[operator]\nadmin = nowhere\ntoken = 12345678\n",
	  "x.ini:2: operator.admin: 'nowhere' is not ip:port" },
	{ "ShortToken", "[operator]\nadmin = 1.2.3.4:5\ntoken = 1\n",
	  "must have 8 to 200 characters" },
	{ "BadLevel", std::string(good_operator) + "[log]\nlevel = loud\n",
	  "'loud' is not error, warning, info or debug" },
	{ "NoSyntax", std::string(good_operator) + "nonsense\n",
	  "x.ini:4: neither [section] nor key = value" },
	{ "Empty", "", "must set 'admin'" },
};

TEST(Settings, Cases)
{
	for (const settings_case &c : settings_cases) {
		ProtobufCMessage *got = nullptr;
		jj_error err = {};
		jj_status status = set_parse(c.text.c_str(), "x.ini",
					     &jj__operator_settings__descriptor,
					     &got, &err);

		if (!c.reason) {
			ASSERT_EQ(status, JJ_OK) << c.name << err.message;
			auto *s = (Jj__OperatorSettings *)got;
			EXPECT_STREQ(s->operator_->who, "operator");
			EXPECT_EQ(s->operator_->timeout_s, 20u);
		} else {
			EXPECT_EQ(status, JJ_INVALID) << c.name;
			EXPECT_EQ(got, nullptr);
			EXPECT_NE(std::string(err.message).find(c.reason),
				  std::string::npos)
				<< c.name << ": " << err.message;
		}
		set_free(got);
	}
}

TEST(Settings, EveryFieldHasARule)
{
	jj_error err = {};

	for (auto *type : { &jj__balancer_settings__descriptor,
			    &jj__agent_settings__descriptor,
			    &jj__operator_settings__descriptor })
		EXPECT_EQ(set_check_schema(type, &err), JJ_OK) << err.message;
}

TEST(Settings, UnreadableFile)
{
	ProtobufCMessage *got = nullptr;
	jj_error err = {};

	EXPECT_EQ(set_load("/nonexistent/x.ini",
			   &jj__operator_settings__descriptor, &got, &err),
		  JJ_SYSTEM);
	EXPECT_NE(std::string(err.message).find("cannot be read"),
		  std::string::npos);
}

/* -- speed --------------------------------------------------------------- */

struct speed_case {
	const char *name;
	uint32_t before_us; /* each of 40 answers */
	uint32_t after_us; /* each of the next answers */
	uint32_t answers;
	uint32_t peer_median_us; /* 0: not known */
	int too_fast;
	uint32_t weight;
};

static const speed_case speeds[] = {
	{ "as before", 30000, 30000, 10, 30000, 0, 100 },
	{ "one short answer", 30000, 1000, 1, 30000, 0, 100 },
	{ "two short answers", 30000, 1000, 2, 30000, 0, 100 },
	{ "three of five are short", 30000, 1000, 3, 30000, 1, 100 },
	{ "short, and peers are not known", 30000, 1000, 5, 0, 0, 100 },
	{ "short, as its peers are now", 30000, 1000, 5, 1500, 0, 100 },
	{ "always short", 1000, 1000, 10, 30000, 0, 100 },
	{ "a third of the usual time", 30000, 10000, 9, 30000, 0, 100 },
	{ "two long answers", 30000, 180000, 2, 30000, 0, 100 },
	{ "three of five are long", 30000, 180000, 3, 30000, 0, 600 },
	{ "somewhat longer", 30000, 50000, 9, 30000, 0, 100 },
	{ "no time at all", 30000, 0, 5, 30000, 1, 100 },
};

TEST(Speed, UsesTheMedianOfRecentSamples)
{
	for (auto &c : speeds) {
		SCOPED_TRACE(c.name);
		spd spd = {};
		uint64_t now = 1;

		for (int i = 0; i < 40; i++)
			spd_add_sample(&spd, c.before_us, c.peer_median_us,
				       now += 1000);
		for (uint32_t i = 0; i < c.answers; i++)
			spd_add_sample(&spd, c.after_us, c.peer_median_us,
				       now += 1000);
		EXPECT_EQ(spd_too_fast(&spd, now), c.too_fast);
		EXPECT_EQ(
			spd_weight(spd_typical_us(&spd, now), c.peer_median_us),
			c.weight);
	}
}

TEST(Speed, SlowWeightDecaysAndAFastTargetIsReleased)
{
	spd spd = {};
	uint64_t now = 1;

	for (int i = 0; i < 40; i++)
		spd_add_sample(&spd, 30000, 30000, now += 1000);
	for (int i = 0; i < 5; i++)
		spd_add_sample(&spd, 240000, 30000, now += 1000);
	EXPECT_EQ(spd_weight(spd_typical_us(&spd, now), 30000), 800u);
	EXPECT_EQ(
		spd_weight(spd_typical_us(&spd, now + SPD_HALF_LIFE_US), 30000),
		400u);
	EXPECT_EQ(spd_weight(spd_typical_us(&spd, now + 3 * SPD_HALF_LIFE_US),
			     30000),
		  100u);
	spd = {};
	for (int i = 0; i < 40; i++)
		spd_add_sample(&spd, 30000, 30000, now += 1000);
	for (int i = 0; i < 5; i++)
		spd_add_sample(&spd, 1000, 30000, now += 1000);
	EXPECT_TRUE(spd_too_fast(&spd, now + SPD_FAST_HOLD_US - 10000));
	now += SPD_FAST_HOLD_US;
	spd_add_sample(&spd, 1000, 30000, now += 1000);
	EXPECT_FALSE(spd_too_fast(&spd, now));
	spd_add_sample(&spd, 1000, 30000, now += 1000);
	EXPECT_FALSE(spd_too_fast(&spd, now));
}

/* With fewer than SPD_SAMPLES_MIN samples the median is 0, not known. */
RC_GTEST_PROP(Speed, MedianIsThatOfASortedList, (std::vector<uint32_t> values))
{
	std::vector<uint32_t> sorted = values;

	std::sort(sorted.begin(), sorted.end());
	RC_ASSERT(spd_median(values.data(), (uint32_t)values.size()) ==
		  (sorted.size() < SPD_SAMPLES_MIN ?
			   0 :
			   sorted[sorted.size() / 2]));
}

/* -- events -------------------------------------------------------------- */

/* -- deadlines in requests ----------------------------------------------- */

static const struct {
	const char *query;
	uint32_t deadline_ms; /* 0: none */
} deadlines[] = {
	{ "deadline_ms=250", 250 },
	{ "deadline_ms=4294967295", 4294967295u },
	{ "deadline_ms=4294967297", 4294967295u },
	{ "deadline_ms=999999999999999999999999", 4294967295u },
	{ "deadline_ms=", 0 },
	{ "deadline_ms=-1", 0 },
	{ "deadline_ms=+5", 0 },
	{ "deadline_ms=5x", 0 },
	{ "deadline_ms= 5", 0 },
	{ "deadline_ms=0", 0 },
	{ "deadline=5", 0 },
};

/* Guards against a deadline so large that it wrapped to one that has passed. */
TEST(Codec, DeadlinesAreDigitsAndDoNotWrap)
{
	for (auto &c : deadlines) {
		SCOPED_TRACE(c.query);
		coap_bytes bytes(CX_CON, 1 /* GET */, 7, "t");
		cx_msg msg;

		bytes.option(15 /* Uri-Query */, c.query);
		ASSERT_EQ(cx_parse(bytes.data.data(), bytes.data.size(), &msg),
			  JJ_OK);
		EXPECT_EQ(msg.deadline_ms, c.deadline_ms);
	}
}

/* -- health -------------------------------------------------------------- */

struct health_case {
	const char *body;
	bool has_state;
	bool cold;
	bool draining;
	bool other_service;
};

static const health_case health_bodies[] = {
	{ "ok", true, false, false, false },
	{ "ok service=desk target=t-1", true, false, false, false },
	{ "cold", true, true, false, false },
	{ "draining\r\nservice=desk", true, false, true, false },
	{ "cold draining", true, true, true, false },
	{ "ok service=vault", true, false, false, true },
	{ "ok service=desk-2", true, false, false, true },
	{ "ok service=", true, false, false, true },
	/* A state is a word of its own. */
	{ "ok service=desk target=cold-1", true, false, false, false },
	{ "ok target=draining", true, false, false, false },
	/* Other formats that contain the words. */
	{ "state=draining;service=desk", true, false, true, false },
	{ "{\"state\":\"cold\",\"target\":\"t-1\"}", true, true, false, false },
	{ "OK", false, false, false, false },
	/* What is not said does not end a drain or a cold start. */
	{ "", false, false, false, false },
	{ "service=desk", false, false, false, false },
	{ "okay", false, false, false, false },
	{ "drain", false, false, false, false },
};

/*
 * Guards against targets that were taken as cold or leaving for their names,
 * as of this service for a longer name, and as ready for an incomplete report.
 */
TEST(Health, ReportsSayOnlyWhatTheirWordsSay)
{
	for (auto &c : health_bodies) {
		SCOPED_TRACE(c.body);
		hlt_report report = hlt_parse((const uint8_t *)c.body,
					      strlen(c.body), "desk");

		EXPECT_EQ(report.has_state, c.has_state);
		EXPECT_EQ(report.cold, c.cold);
		EXPECT_EQ(report.draining, c.draining);
		EXPECT_EQ(report.other_service, c.other_service);
	}
}

TEST(Events, CatalogueAndCodeAgree)
{
	std::ifstream in(SOURCE_DIR "/docs/EVENTS.md");
	std::set<int> in_docs;
	std::set<int> in_code = {
#define X(number, level, name, text) number,
		LOG_EVENTS(X)
#undef X
	};
	std::string line;

	while (std::getline(in, line)) {
		int number;

		if (sscanf(line.c_str(), "| JJ%d |", &number) == 1) {
			in_docs.insert(number);
			ASSERT_NE(log_text(number), nullptr) << number;
			EXPECT_NE(line.find(log_text(number)),
				  std::string::npos)
				<< line;
		}
	}
	EXPECT_EQ(in_docs, in_code);
}
