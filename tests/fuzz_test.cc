/* Fuzz tests with fixed seeds for all decoders of outside input. */
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "relay_fake.h"
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

/* One message of each kind that relaying agents receive. */
static std::vector<std::string> sample_flow_messages(uint64_t flow,
						     uint64_t holder)
{
	std::vector<std::string> out;
	Jj__Envelope env = JJ__ENVELOPE__INIT;
	Jj__Holding item = JJ__HOLDING__INIT;
	Jj__Holding *items[] = { &item };
	Jj__Holdings holdings = JJ__HOLDINGS__INIT;
	Jj__Inquiry inquiry = JJ__INQUIRY__INIT;
	Jj__InquiryReply reply = JJ__INQUIRY_REPLY__INIT;
	Jj__Load load = JJ__LOAD__INIT;
	Jj__DataCentreLoad centre = JJ__DATA_CENTRE_LOAD__INIT;
	Jj__Packet packet = JJ__PACKET__INIT;
	fake_packet data = {};
	auto add = [&](Jj__Envelope__BodyCase body) {
		env.body_case = body;
		out.emplace_back(jj__envelope__get_packed_size(&env), 0);
		jj__envelope__pack(&env, (uint8_t *)out.back().data());
	};

	item.flow = flow;
	item.holder = holder;
	holdings.items = reply.held = items;
	holdings.n_items = reply.n_held = 1;
	env.holdings = &holdings;
	add(JJ__ENVELOPE__BODY_HOLDINGS);
	inquiry.ip = 0x7f000001;
	inquiry.port = 1;
	inquiry.flows = &flow;
	inquiry.n_flows = 1;
	env.inquiry = &inquiry;
	add(JJ__ENVELOPE__BODY_INQUIRY);
	reply.not_held = reply.unknown = &flow;
	reply.n_not_held = reply.n_unknown = 1;
	env.inquiry_reply = &reply;
	add(JJ__ENVELOPE__BODY_INQUIRY_REPLY);
	load.in_flight = load.queued = load.cap = load.median_us = 3;
	centre.id = rnk_name_id("dc-b");
	centre.slots = centre.free_slots = centre.median_us = 3;
	load.data_centre = &centre;
	env.load = &load;
	add(JJ__ENVELOPE__BODY_LOAD);
	packet.service = rnk_name_id("desk");
	packet.flow = flow;
	packet.via_id = holder;
	packet.data.data = (uint8_t *)&data;
	packet.data.len = sizeof(data);
	packet.tried = &holder;
	packet.n_tried = 1;
	env.packet = &packet;
	add(JJ__ENVELOPE__BODY_PACKET);
	return out;
}

static void deliver_envelope(relay_fleet &fleet, relay_agent &agent,
			     const Jj__Envelope *env)
{
	flw_call call = fleet.call_of(agent);

	if (env->body_case == JJ__ENVELOPE__BODY_HOLDINGS)
		flw_on_holdings(&call, env->holdings);
	else if (env->body_case == JJ__ENVELOPE__BODY_INQUIRY)
		flw_on_inquiry(&call, env->inquiry);
	else if (env->body_case == JJ__ENVELOPE__BODY_INQUIRY_REPLY)
		flw_on_inquiry_reply(&call, env->sender, env->inquiry_reply);
	else if (env->body_case == JJ__ENVELOPE__BODY_LOAD)
		flw_on_load(&call, env->sender, env->load);
	else if (env->body_case == JJ__ENVELOPE__BODY_PACKET)
		flw_from_caller(&call, env->packet);
}

/* Messages with a valid tag, as from a faulty agent or balancer. */
TEST(Fuzz, FlowMessages)
{
	std::mt19937 rng(8);
	single_service_fleet fleet(8, 4);
	auto keys = fleet.open(4);
	auto valid =
		sample_flow_messages(keys[0], fleet.agents[1]->core->desc.id);
	int decoded = 0;

	for (int i = 0; i < ITERATIONS; i++) {
		std::string bytes = mutate(valid[rng() % valid.size()], rng);
		Jj__Envelope *env = jj__envelope__unpack(
			nullptr, bytes.size(), (const uint8_t *)bytes.data());

		if (!env)
			continue;
		decoded++;
		deliver_envelope(fleet, *fleet.agents[rng() % 4], env);
		jj__envelope__free_unpacked(env, nullptr);
		if (i % 200 == 0)
			fleet.run(20000);
	}
	EXPECT_GT(decoded, ITERATIONS / 100);
	fleet.run(3000000);
	for (auto key : keys) {
		fleet.request(key, 0);
		fleet.run(100000);
		EXPECT_EQ(fleet.callers[key].answers, 2);
	}
}
