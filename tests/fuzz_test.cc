/* Fuzz tests with fixed seeds for all decoders of outside input. */
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "test_helpers.h"

extern "C" {
#include <coap3/coap.h>
#include "jujube/frame.h"
#include "jujube/ledger.h"
#include "jujube/member.h"
#include "jujube/rank.h"
#include "jujube/settings.h"
}

static const int ITERATIONS = 20000;

/*
 * Applies one to six random changes: replaces, cuts, inserts or repeats bytes.
 */
static std::string mutate(std::string bytes, std::mt19937 &rng)
{
	for (unsigned i = 0; i < 1 + rng() % 6; i++) {
		size_t at = bytes.empty() ? 0 : rng() % bytes.size();

		switch (rng() % 5) {
		case 0:
			if (!bytes.empty())
				bytes[at] = (char)rng();
			break;
		case 1:
			bytes.resize(at);
			break;
		case 2:
			bytes.insert(at, std::string(rng() % 40, (char)rng()));
			break;
		case 3:
			bytes += bytes.substr(at, 64);
			break;
		case 4:
			if (!bytes.empty())
				bytes[at] ^= (char)(1 << rng() % 8);
			break;
		}
	}
	return bytes;
}

static std::string sample_packet()
{
	coap_bytes bytes(CX_CON, COAP_POST, 7, "token");

	bytes.option(OPT_OBSERVE, "\1").option(OPT_PATH, "holds");
	bytes.option(OPT_QUERY, "deadline_ms=10").option(OPT_BLOCK2, "\2");
	bytes.option(OPT_ECHO, std::string(20, 'e')).payload("id-1");
	return std::string(bytes.data.begin(), bytes.data.end());
}

TEST(Fuzz, CallerPackets)
{
	std::mt19937 rng(1);
	int decoded = 0;

	coap_set_log_level(LOG_EMERG);
	for (int i = 0; i < ITERATIONS; i++) {
		std::string bytes = mutate(sample_packet(), rng);
		struct cx_msg msg;

		if (cx_parse((const uint8_t *)bytes.data(), bytes.size(),
			     &msg) != JJ_OK)
			continue;
		decoded++;
		ASSERT_LE(msg.token_len, CX_TOKEN_MAX);
		ASSERT_LE(msg.echo_len, CX_ECHO_MAX);
	}
	EXPECT_GT(decoded, ITERATIONS / 100);
	EXPECT_LT(decoded, ITERATIONS);
}

static std::string sample_table()
{
	struct tbl tbl;
	size_t len = 0;

	tbl_init(&tbl, 32);
	add_service(&tbl, "a", "127.0.0.1:1");
	add_service(&tbl, "b", "127.0.0.1:2");
	uint8_t *packed = tbl_pack(&tbl, 0, &len);
	std::string out((char *)packed, len);
	free(packed);
	tbl_finish(&tbl);
	return out;
}

/* A table that is rejected leaves the existing rows unchanged. */
TEST(Fuzz, TablesFromThePlatform)
{
	std::mt19937 rng(2);
	std::string valid = sample_table();
	int merged = 0;

	for (int i = 0; i < ITERATIONS; i++) {
		std::string bytes = mutate(valid, rng);
		struct tbl tbl;
		Jj__Table *msg = jj__table__unpack(
			nullptr, bytes.size(), (const uint8_t *)bytes.data());

		if (!msg)
			continue;
		ASSERT_TRUE(tbl_init(&tbl, 8));
		add_service(&tbl, "held", "127.0.0.1:9");
		if (tbl_merge(&tbl, msg, nullptr) == JJ_OK)
			merged++;
		ASSERT_NE(tbl_find(&tbl, JJ__KIND__KIND_SERVICE, "held"),
			  nullptr);
		for (uint32_t row = 0; row < tbl.count; row++)
			ASSERT_EQ(tbl_check_row(&tbl.rows[row], nullptr),
				  JJ_OK);
		tbl_finish(&tbl);
		jj__table__free_unpacked(msg, nullptr);
	}
	EXPECT_GT(merged, 0);
}

static void set_source(struct tbl *tbl, const std::vector<std::string> &names,
		       uint64_t version)
{
	std::vector<tbl_row> rows;
	tbl_update update;
	tbl_row row = {};

	row.kind = JJ__KIND__KIND_SERVICE;
	row.weight = TBL_WEIGHT_DEFAULT;
	for (auto &name : names) {
		snprintf(row.name, sizeof(row.name), "%s", name.c_str());
		rows.push_back(row);
	}
	tbl_source source = { "op/config", rows.data(), (uint32_t)rows.size(),
			      version, tbl_compose_revision(1, version) };
	ASSERT_EQ(tbl_replace_source(tbl, &source, &update, nullptr), JJ_OK);
	tbl_raise_revision(tbl, source.revision);
}

/* Differences and complete tables with digests of their sources. */
TEST(Fuzz, TablesWithSourcesFromPeers)
{
	std::mt19937 rng(7);
	struct tbl sender;
	int merged = 0;

	ASSERT_TRUE(tbl_init(&sender, 8));
	set_source(&sender, { "a", "b" }, 5);
	set_source(&sender, { "b", "c" }, 9);
	for (int i = 0; i < ITERATIONS; i++) {
		size_t len = 0;
		uint8_t *packed = tbl_pack(
			&sender, i % 2 ? 0 : tbl_compose_revision(1, 5), &len);
		std::string bytes =
			mutate(std::string((char *)packed, len), rng);
		Jj__Table *msg = jj__table__unpack(
			nullptr, bytes.size(), (const uint8_t *)bytes.data());
		struct tbl tbl;

		free(packed);
		if (!msg)
			continue;
		ASSERT_TRUE(tbl_init(&tbl, 8));
		set_source(&tbl, { "a", "b" }, 5);
		if (tbl_merge(&tbl, msg, nullptr) == JJ_OK)
			merged++;
		for (uint32_t row = 0; row < tbl.count; row++)
			ASSERT_EQ(tbl_check_row(&tbl.rows[row], nullptr),
				  JJ_OK);
		tbl_finish(&tbl);
		jj__table__free_unpacked(msg, nullptr);
	}
	tbl_finish(&sender);
	EXPECT_GT(merged, 0);
}

TEST(Fuzz, TablesFromOperators)
{
	std::mt19937 rng(3);
	std::string valid = "kind,name,address,weight,state\n"
			    "service,s,127.0.0.1:5,100,in\n"
			    "target,\"t\",,7,out\n";

	for (int i = 0; i < ITERATIONS; i++) {
		std::string bytes = mutate(valid, rng);
		tbl_edits edits = {};
		jj_error err = {};

		if (tbl_edits_from_csv(bytes.data(), bytes.size(), &edits,
				       &err) != JJ_OK)
			ASSERT_NE(err.message[0], 0);
		free(edits.items);
	}
}

TEST(Fuzz, Settings)
{
	std::mt19937 rng(4);
	std::string valid = "[operator]\nadmin = 127.0.0.1:8080\n"
			    "token = 12345678\ntimeout_s = 5\n[log]\n"
			    "level = info\n";

	for (int i = 0; i < ITERATIONS; i++) {
		std::string bytes = mutate(valid, rng);
		ProtobufCMessage *decoded = nullptr;
		jj_error err = {};

		bytes.erase(std::remove(bytes.begin(), bytes.end(), '\0'),
			    bytes.end());
		if (set_parse(bytes.c_str(), "x",
			      &jj__operator_settings__descriptor, &decoded,
			      &err) != JJ_OK)
			ASSERT_NE(err.message[0], 0);
		set_free(decoded);
	}
}

/* Malformed messages with a valid tag, as from a faulty peer. */
TEST(Fuzz, MemberMessages)
{
	std::mt19937 rng(5);
	struct mbr_desc desc = {};
	struct mbr mbr;
	Jj__Envelope env;
	Jj__Ping ping;
	Jj__Member member;
	Jj__Member *updates[1] = { &member };
	char name[] = "peer";

	snprintf(desc.self.name, MBR_NAME_MAX, "me");
	desc.self.incarnation = 1;
	desc.capacity = 64;
	desc.random_seed = 1;
	desc.hooks.send = [](void *, uint32_t, uint16_t, Jj__Envelope *) {};
	ASSERT_EQ(mbr_resolve(&desc, nullptr), JJ_OK);
	ASSERT_EQ(mbr_init(&mbr, &desc, 0), JJ_OK);
	jj__envelope__init(&env);
	jj__ping__init(&ping);
	jj__member__init(&member);
	member.id = rnk_name_id(name);
	member.name = name;
	member.role = JJ__ROLE__ROLE_BALANCER;
	member.ip = 0x7f000001;
	member.control_port = 1;
	member.data_port = 2;
	member.incarnation = 5;
	env.sender = member.id;
	env.body_case = JJ__ENVELOPE__BODY_PING;
	env.ping = &ping;
	ping.n_news = 1;
	ping.news = updates;
	std::string valid(jj__envelope__get_packed_size(&env), 0);
	jj__envelope__pack(&env, (uint8_t *)valid.data());
	for (int i = 0; i < ITERATIONS; i++) {
		std::string bytes = mutate(valid, rng);
		Jj__Envelope *decoded = jj__envelope__unpack(
			nullptr, bytes.size(), (const uint8_t *)bytes.data());

		if (!decoded)
			continue;
		mbr_message(&mbr, (uint64_t)i, 1, 1, decoded);
		mbr_tick(&mbr, (uint64_t)i);
		jj__envelope__free_unpacked(decoded, nullptr);
		ASSERT_LE(mbr.live_count, mbr.count);
	}
	EXPECT_EQ(mbr.members[0].liveness, JJ__LIVENESS__LIVE_ALIVE);
	mbr_finish(&mbr);
}
