/* The adapter to the users' platform: its formats, and invalid input. */
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "test_helpers.h"

extern "C" {
#include "platform.h"
}

static const int MUTATIONS = 20000;

/* -- packets ------------------------------------------------------------- */

/* The examples in the platform's documentation. */
static const std::vector<uint8_t> OPENING = {
	0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
	0xc6, 0x12, 0x00, 0x01, 0x64, 0x40, 0x00, 0x07, 0x9c, 0x41, 0x01, 0xbb,
	0xa1, 0xb2, 0xc3, 0xd5, 0x01, 0x00, 0x00, 0x00, 0x00, 0x00
};
static const std::vector<uint8_t> RESET = {
	0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
	0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0x9c, 0x41,
	0x00, 0x00, 0x00, 0x00, 0x02, 0x00, 0x00, 0x00, 0x00, 0x00
};

TEST(Packet, TheExampleOpeningIsDecoded)
{
	flw_packet head;

	ASSERT_EQ(pf_codec().decode(OPENING.data(), OPENING.size(), 0, &head),
		  JJ_OK);
	EXPECT_EQ(head.caller_ip, 0x64400007u);
	EXPECT_EQ(head.caller_port, 40001);
	EXPECT_EQ(head.service_ip, 0xc6120001u);
	EXPECT_EQ(head.service_port, 443);
	EXPECT_EQ(head.seq, 0x11223344u);
	EXPECT_TRUE(head.opens);
	EXPECT_FALSE(head.acknowledges);
	EXPECT_EQ(head.repeat, 0);
}

TEST(Packet, AResetIsAsInTheExample)
{
	flw_packet head;
	uint8_t buf[PF_HEADER_BYTES];

	pf_codec().decode(OPENING.data(), OPENING.size(), 0, &head);
	ASSERT_EQ(pf_codec().reset(&head, 0, buf, sizeof(buf)), RESET.size());
	EXPECT_EQ(std::vector<uint8_t>(buf, buf + sizeof(buf)), RESET);
	EXPECT_EQ(pf_codec().reset(&head, 0, buf, sizeof(buf) - 1), 0u);
}

/* A packet that a target returns still has the caller as its source. */
TEST(Packet, AReturnedOneBelongsToItsCallersFlow)
{
	std::vector<uint8_t> data = OPENING;
	flw_packet sent;
	flw_packet back;

	pf_codec().decode(data.data(), data.size(), 0, &sent);
	pf_codec().set_mark(data.data(), 77);
	data[28] |= 64;
	ASSERT_EQ(pf_codec().decode(data.data(), data.size(), 1, &back), JJ_OK);
	EXPECT_TRUE(back.returned);
	EXPECT_EQ(pf_codec().mark(data.data()), 77u);
	EXPECT_EQ(flw_key(&back), flw_key(&sent));
	pf_codec().restore(data.data());
	EXPECT_EQ(data, OPENING);
}

TEST(Packet, AnAnswerBelongsToTheSameFlow)
{
	flw_packet sent;
	flw_packet answer;

	pf_codec().decode(OPENING.data(), OPENING.size(), 0, &sent);
	/* The reset has the same addresses as an answer of the target. */
	ASSERT_EQ(pf_codec().decode(RESET.data(), RESET.size(), 1, &answer),
		  JJ_OK);
	EXPECT_EQ(flw_key(&answer), flw_key(&sent));
}

RC_GTEST_PROP(Packet, RandomBytesAreRejectedOrDecodedSafely,
	      (std::vector<uint8_t> noise))
{
	flw_packet head;
	jj_status status =
		pf_codec().decode(noise.data(), noise.size(), 0, &head);

	if (noise.size() < PF_HEADER_BYTES)
		RC_ASSERT(status == JJ_MALFORMED);
}

TEST(Packet, AWrongLengthIsRejected)
{
	std::vector<uint8_t> data = OPENING;
	flw_packet head;

	data.push_back(1);
	EXPECT_EQ(pf_codec().decode(data.data(), data.size(), 0, &head),
		  JJ_MALFORMED);
	data[33] = 1;
	EXPECT_EQ(pf_codec().decode(data.data(), data.size(), 0, &head), JJ_OK);
	EXPECT_EQ(head.payload, 1);
}

/* -- the configuration --------------------------------------------------- */

struct decoded {
	std::vector<tbl_row> rows;
	std::vector<std::string> log;
	uint64_t version;
	jj_status status;

	decoded(const char *key, const std::string &value)
	{
		reg_item item = {};
		tbl_source source = {};
		log_sink sink = { on_log, this };

		snprintf(item.key, sizeof(item.key), "%s", key);
		item.value = (uint8_t *)value.data();
		item.len = value.size();
		status = pf_parse_item(nullptr, &item, &source, &sink);
		version = source.version;
		rows.assign(source.rows, source.rows + source.count);
		free(source.rows);
	}
	static void on_log(void *ctx, log_event, log_level, const char *line)
	{
		((decoded *)ctx)->log.push_back(line);
	}
	const tbl_row *find(const std::string &name)
	{
		for (auto &row : rows)
			if (name == row.name)
				return &row;
		return nullptr;
	}
};

static const char CONFIG[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r-1\",\"host\":\"198.18.0.1\",\"prefix\":\"/8080/\","
	"\"kind\":\"non_idempotent\",\"targetLatencyMs\":300,"
	"\"service\":\"desk\"},"
	"{\"name\":\"r-2\",\"host\":\"198.18.0.1\",\"prefix\":\"/8443/\","
	"\"backends\":[{\"service\":\"desk\",\"weight\":90},"
	"{\"service\":\"vault\",\"weight\":10}]}],"
	"\"services\":[{\"name\":\"desk\",\"maxConns\":2000,"
	"\"warmupPerS\":2.5},{\"name\":\"vault\"}],"
	"\"limits\":{\"idleTimeoutMs\":15000}}";

TEST(Config, BecomesRows)
{
	decoded got("op/config", CONFIG);

	EXPECT_EQ(got.status, JJ_OK);
	EXPECT_EQ(got.version, 7u);
	EXPECT_EQ(got.rows.size(), 5u);
	EXPECT_TRUE(got.log.empty());
	ASSERT_TRUE(got.find("r-1.desk"));
	EXPECT_STREQ(got.find("r-1.desk")->address, "198.18.0.1:8080");
	EXPECT_EQ(got.find("r-1.desk")->target_latency_ms, 300u);
	ASSERT_TRUE(got.find("r-2.vault"));
	EXPECT_EQ(got.find("r-2.vault")->weight, 10u);
	EXPECT_EQ(got.find("r-2.desk")->weight, 90u);
	EXPECT_EQ(got.find("desk")->cold_per_ks, 2500u);
	EXPECT_EQ(got.find("desk")->max_flows, 2000u);
	EXPECT_EQ(got.find("desk")->flow_idle_ms, 15000u);
}

struct config_case {
	const char *name;
	const char *value;
	jj_status status;
	size_t rows;
	size_t refused;
};

static const config_case configs[] = {
	{ "not JSON", "{", JJ_MALFORMED, 0, 1 },
	{ "of another type", "[1]", JJ_MALFORMED, 0, 1 },
	{ "without routes", "{\"services\":[]}", JJ_MALFORMED, 0, 1 },
	{ "empty", "{\"services\":[],\"routes\":[]}", JJ_OK, 0, 0 },
	{ "one bad route, one good",
	  "{\"services\":[],\"routes\":[{\"name\":\"a\",\"host\":1,"
	  "\"prefix\":\"/1/\",\"service\":\"s\"},{\"name\":\"b\","
	  "\"host\":\"10.0.0.1\",\"prefix\":\"/2/\",\"service\":\"s\"}]}",
	  JJ_OK, 1, 1 },
	{ "port out of range",
	  "{\"services\":[],\"routes\":[{\"name\":\"a\","
	  "\"host\":\"10.0.0.1\",\"prefix\":\"/99999/\","
	  "\"service\":\"s\"}]}",
	  JJ_OK, 0, 1 },
	{ "port beyond 32 bits",
	  "{\"services\":[],\"routes\":[{\"name\":\"a\","
	  "\"host\":\"10.0.0.1\",\"prefix\":\"/4294967739/\","
	  "\"service\":\"s\"}]}",
	  JJ_OK, 0, 1 },
	{ "port with a sign",
	  "{\"services\":[],\"routes\":[{\"name\":\"a\","
	  "\"host\":\"10.0.0.1\",\"prefix\":\"/+443/\","
	  "\"service\":\"s\"}]}",
	  JJ_OK, 0, 1 },
	{ "service of another type", "{\"services\":[3],\"routes\":[]}", JJ_OK,
	  0, 1 },
	/* A limit that is odd is ignored; the service remains. */
	{ "large limit",
	  "{\"services\":[{\"name\":\"s\",\"maxConns\":1e300}],"
	  "\"routes\":[]}",
	  JJ_OK, 1, 1 },
	{ "negative limits",
	  "{\"services\":[{\"name\":\"s\",\"maxConns\":-1,"
	  "\"warmupPerS\":-0.5}],\"routes\":[]}",
	  JJ_OK, 1, 2 },
	{ "limits of another type",
	  "{\"services\":[{\"name\":\"s\",\"maxConns\":\"9\"},"
	  "{\"name\":\"t\"}],\"routes\":[],"
	  "\"limits\":{\"idleTimeoutMs\":{}}}",
	  JJ_OK, 2, 2 },
	{ "weight of another type",
	  "{\"services\":[],\"routes\":[{\"name\":\"a\","
	  "\"host\":\"10.0.0.1\",\"prefix\":\"/443/\",\"backends\":"
	  "[{\"service\":\"s\",\"weight\":\"9\"},"
	  "{\"service\":\"t\",\"weight\":9}]}]}",
	  JJ_OK, 2, 1 },
};

/* Guards against a decoder that runs out of stack. */
TEST(Config, DeepNestingIsRejected)
{
	std::string nested(1000000, '[');

	EXPECT_EQ(decoded("op/config", nested).status, JJ_MALFORMED);
	EXPECT_EQ(decoded("op/config", "{\"services\":[],\"routes\":" + nested)
			  .status,
		  JJ_MALFORMED);
}

TEST(Config, InvalidPartsAreRejectedOneByOne)
{
	for (auto &c : configs) {
		SCOPED_TRACE(c.name);
		decoded got("op/config", c.value);

		EXPECT_EQ(got.status, c.status);
		EXPECT_EQ(got.rows.size(), c.rows);
		EXPECT_EQ(got.log.size(), c.refused);
	}
}

struct term_case {
	const char *fields; /* of a route */
	uint32_t latency;
	uint32_t deadline;
	uint32_t priority;
	Jj__Idempotence idempotent;
	size_t refused; /* lines of JJ323 */
};

#define UNKNOWN JJ__IDEMPOTENCE__IDEMPOTENCE_UNKNOWN
#define YES JJ__IDEMPOTENCE__IDEMPOTENCE_YES
#define NO JJ__IDEMPOTENCE__IDEMPOTENCE_NO

static const term_case route_terms[] = {
	{ "\"targetLatencyMs\":400,\"timeoutMs\":2500,\"priority\":1,"
	  "\"kind\":\"non_idempotent\"",
	  400, 2500, 2, NO, 0 },
	{ "\"priority\":0,\"kind\":\"idempotent\"", 0, 0, 1, YES, 0 },
	{ "\"kind\":\"download\"", 0, 0, 0, YES, 0 },
	{ "\"kind\":\"upload\"", 0, 0, 0, NO, 0 },
	{ "\"kind\":null,\"priority\":null", 0, 0, 0, UNKNOWN, 0 },
	{ "\"kind\":\"stream\",\"priority\":2", 0, 0, 3, UNKNOWN, 1 },
	{ "\"kind\":\"\"", 0, 0, 0, UNKNOWN, 1 },
	{ "\"kind\":7", 0, 0, 0, UNKNOWN, 1 },
	{ "\"priority\":\"1\"", 0, 0, 0, UNKNOWN, 1 },
	{ "\"priority\":-1", 0, 0, 0, UNKNOWN, 1 },
	{ "\"priority\":254", 0, 0, 255, UNKNOWN, 0 },
	{ "\"priority\":255", 0, 0, 0, UNKNOWN, 1 },
	{ "\"timeoutMs\":0", 0, 0, 0, UNKNOWN, 0 },
	{ "\"timeoutMs\":3600000", 0, 3600000, 0, UNKNOWN, 0 },
	{ "\"timeoutMs\":3600001", 0, 0, 0, UNKNOWN, 1 },
	{ "\"timeoutMs\":1e300,\"targetLatencyMs\":9223372036854775807", 0, 0,
	  0, UNKNOWN, 2 },
	{ "\"timeoutMs\":[1],\"targetLatencyMs\":true", 0, 0, 0, UNKNOWN, 2 },
	{ "\"targetLatencyMs\":400,\"timeoutMs\":399", 400, 0, 0, UNKNOWN, 1 },
};

/*
 * Guards against losing a route for a term that is invalid, and against a
 * wrong value that becomes a valid one, as a negative priority the highest.
 */
TEST(Config, InvalidTermsAreIgnoredAndTheRouteRemains)
{
	for (auto &c : route_terms) {
		SCOPED_TRACE(c.fields);
		decoded got(
			"op/config",
			std::string("{\"services\":[],\"routes\":[{"
				    "\"name\":\"a\",\"host\":\"10.0.0.1\","
				    "\"prefix\":\"/1/\",\"service\":\"s\",") +
				c.fields + "}]}");

		ASSERT_TRUE(got.find("a.s"));
		EXPECT_EQ(got.find("a.s")->target_latency_ms, c.latency);
		EXPECT_EQ(got.find("a.s")->deadline_ms, c.deadline);
		EXPECT_EQ(got.find("a.s")->priority, c.priority);
		EXPECT_EQ(got.find("a.s")->idempotent, c.idempotent);
		EXPECT_EQ(got.log.size(), c.refused);
	}
}

/* What is decoded is valid, whatever bytes an item holds. */
TEST(Config, MutatedItemsGiveValidRowsOnly)
{
	std::mt19937 rng(1);
	int decoded_rows = 0;

	for (int i = 0; i < MUTATIONS; i++) {
		decoded got("op/config", mutate(CONFIG, rng));

		for (auto &row : got.rows)
			ASSERT_EQ(tbl_check_row(&row, nullptr), JJ_OK);
		decoded_rows += !got.rows.empty();
	}
	EXPECT_GT(decoded_rows, MUTATIONS / 100);
}

TEST(Config, AnEvacuationDrainsItsDataCentre)
{
	decoded got("op/evacuate/lisboa-a", "{}");

	ASSERT_EQ(got.rows.size(), 1u);
	EXPECT_EQ(got.rows[0].kind, JJ__KIND__KIND_DATA_CENTRE);
	EXPECT_STREQ(got.rows[0].name, "lisboa-a");
	EXPECT_EQ(got.rows[0].state, JJ__ROW_STATE__STATE_DRAINING);
	EXPECT_EQ(decoded("op/unheard-of", "{}").rows.size(), 0u);
}

/* -- HTTP requests of a target ------------------------------------------- */

struct request_case {
	const char *name;
	evhttp_cmd_type method;
	const char *path;
	const char *body;
	jj_status wanted;
};

#define GOOD                                                               \
	"\"service\":\"desk\",\"address\":\"10.0.0.9:80\",\"zone\":\"a\"," \
	"\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","              \
	"\"warmupLeftMs\":120,\"seq\":4"

static const request_case calls[] = {
	{ "a heartbeat", EVHTTP_REQ_PUT, "/instances/i-1", "{" GOOD "}",
	  JJ_OK },
	{ "with its start", EVHTTP_REQ_PUT, "/instances/i-1",
	  "{" GOOD ",\"born\":1700000000000}", JJ_OK },
	{ "its start as text", EVHTTP_REQ_PUT, "/instances/i-1",
	  "{" GOOD ",\"born\":\"1700\"}", JJ_INVALID },
	{ "unknown state", EVHTTP_REQ_PUT, "/instances/i-1",
	  "{\"service\":\"desk\",\"slots\":8,\"state\":\"odd\",\"seq\":4}",
	  JJ_INVALID },
	{ "no service", EVHTTP_REQ_PUT, "/instances/i-1",
	  "{\"slots\":8,\"state\":\"ready\",\"seq\":4}", JJ_INVALID },
	{ "no slots", EVHTTP_REQ_PUT, "/instances/i-1",
	  "{\"service\":\"desk\",\"slots\":0,\"state\":\"ready\",\"seq\":4}",
	  JJ_INVALID },
	{ "no JSON", EVHTTP_REQ_PUT, "/instances/i-1", "\xff{", JJ_INVALID },
	{ "empty", EVHTTP_REQ_PUT, "/instances/i-1", "", JJ_INVALID },
	{ "no id", EVHTTP_REQ_PUT, "/instances/", "{" GOOD "}", JJ_INVALID },
	{ "leaving", EVHTTP_REQ_DELETE, "/instances/i-1", "", JJ_OK },
	{ "readiness", EVHTTP_REQ_GET, "/ready", "", JJ_OK },
	{ "unknown path", EVHTTP_REQ_GET, "/else", "", JJ_NOT_FOUND },
	{ "unknown call", EVHTTP_REQ_PUT, "/else", "", JJ_NOT_FOUND },
};

TEST(Request, IsParsedOrRejected)
{
	for (auto &c : calls) {
		SCOPED_TRACE(c.name);
		hts_request request = {};
		pf_request call;

		request.method = c.method;
		request.path = c.path;
		request.body = c.body;
		request.len = strlen(c.body);
		EXPECT_EQ(pf_parse_request(&request, &call, nullptr), c.wanted);
		if (c.wanted == JJ_OK && c.method == EVHTTP_REQ_PUT) {
			EXPECT_STREQ(call.heartbeat.id, "i-1");
			EXPECT_EQ(call.heartbeat.slots, 8u);
			EXPECT_EQ(call.heartbeat.cold_ms, 120u);
			EXPECT_EQ(call.heartbeat.seq, 4u);
		}
	}
}

/* A field of a heartbeat; null: the field is left out. */
struct field_case {
	const char *name;
	const char *value;
};

static std::string heartbeat_with(const field_case &c)
{
	static const field_case good[] = {
		{ "service", "\"desk\"" },
		{ "address", "\"10.0.0.9:80\"" },
		{ "zone", "\"a\"" },
		{ "version", "\"v1\"" },
		{ "slots", "8" },
		{ "state", "\"ready\"" },
		{ "warmupLeftMs", "120" },
		{ "seq", "4" },
		{ "born", "1700000000000" },
	};
	std::string text;

	for (auto &field : good) {
		bool replaced = !strcmp(field.name, c.name);
		const char *value = replaced ? c.value : field.value;

		if (value)
			text += std::string(text.empty() ? "{\"" : ",\"") +
				field.name + "\":" + value;
	}
	return text + "}";
}

static jj_status parse_heartbeat_body(const std::string &body, pf_request *call)
{
	hts_request request = {};

	request.method = EVHTTP_REQ_PUT;
	request.path = "/instances/i-1";
	request.body = body.c_str();
	request.len = body.size();
	return pf_parse_request(&request, call, nullptr);
}

static const field_case odd_fields[] = {
	{ "service", nullptr },
	{ "service", "7" },
	{ "service", "\"\"" },
	{ "address", nullptr },
	{ "address", "80" },
	{ "address", "\"10.0.0.9\"" },
	{ "address", "\"10.0.0.9:0\"" },
	{ "address", "\"10.0.0.9:65536\"" },
	{ "address", "\"10.0.0.9:4294967376\"" },
	{ "address", "\"10.0.0.9: 80\"" },
	{ "address", "\"10.0.0.9:+80\"" },
	{ "address", "\"host:80\"" },
	{ "zone", nullptr },
	{ "zone", "[\"a\"]" },
	{ "version", nullptr },
	{ "version", "1" },
	{ "slots", nullptr },
	{ "slots", "\"8\"" },
	{ "slots", "0" },
	{ "slots", "100001" },
	{ "slots", "4294967304" },
	{ "slots", "1e300" },
	{ "state", nullptr },
	{ "state", "\"odd\"" },
	{ "state", "{\"ready\":1}" },
	{ "warmupLeftMs", nullptr },
	{ "warmupLeftMs", "\"120\"" },
	{ "warmupLeftMs", "-1" },
	{ "seq", nullptr },
	{ "seq", "4.5" },
	{ "seq", "-1" },
	{ "seq", "9223372036854775808" },
	{ "born", "null" },
	{ "born", "0" },
	{ "born", "-1" },
	{ "born", "1700000000000.5" },
	{ "born", "9223372036854775808" },
};

/*
 * Guards against a record of another writer that is taken as the target's: one
 * odd field makes the whole heartbeat invalid.
 */
TEST(Request, AHeartbeatWithOneOddFieldIsRejected)
{
	pf_request call;

	ASSERT_EQ(parse_heartbeat_body(heartbeat_with({ "", "" }), &call),
		  JJ_OK);
	EXPECT_EQ(call.heartbeat.ip, 0x0a000009u);
	EXPECT_EQ(call.heartbeat.port, 80);
	EXPECT_EQ(call.heartbeat.started_ms, 1700000000000u);
	/* Some platforms do not give it. */
	EXPECT_EQ(parse_heartbeat_body(heartbeat_with({ "born", nullptr }),
				       &call),
		  JJ_OK);
	for (auto &c : odd_fields)
		EXPECT_EQ(parse_heartbeat_body(heartbeat_with(c), &call),
			  JJ_INVALID)
			<< c.name << " " << (c.value ? c.value : "left out");
}

static const field_case sound_fields[] = {
	{ "zone", "\"\"" },
	{ "version", "\"\"" },
	{ "seq", "0" },
	{ "seq", "1700000000000" },
	{ "seq", "9223372036854775807" },
	{ "warmupLeftMs", "0" },
	{ "warmupLeftMs", "0.5" },
	{ "warmupLeftMs", "7200000" },
	{ "warmupLeftMs", "1e300" },
	{ "born", "1" },
	{ "born", "253402300800000" },
	{ "extra", "[]" },
};

/* Guards against a sound target that is left out for an unusual value. */
TEST(Request, AHeartbeatWithUnusualValuesIsAccepted)
{
	pf_request call;

	for (auto &c : sound_fields) {
		SCOPED_TRACE(std::string(c.name) + " " + c.value);
		ASSERT_EQ(parse_heartbeat_body(heartbeat_with(c), &call),
			  JJ_OK);
		EXPECT_LE(call.heartbeat.cold_ms, 3600000u);
	}
}

/* Guards against a decoder that runs out of stack. */
TEST(Request, ADeeplyNestedHeartbeatIsRejected)
{
	pf_request call;

	for (size_t depth : { 10000, 1000000 }) {
		std::string nested(depth, '[');

		EXPECT_EQ(parse_heartbeat_body(nested, &call), JJ_INVALID);
		EXPECT_EQ(parse_heartbeat_body(
				  heartbeat_with({ "zone", nested.c_str() }),
				  &call),
			  JJ_INVALID);
	}
}

/* A heartbeat that is accepted is complete and in range. */
TEST(Request, MutatedHeartbeatsAreCompleteOrRejected)
{
	std::mt19937 rng(2);
	std::string good = heartbeat_with({ "", "" });
	int accepted = 0;

	for (int i = 0; i < MUTATIONS; i++) {
		pf_request call;

		if (parse_heartbeat_body(mutate(good, rng), &call) != JJ_OK)
			continue;
		accepted++;
		ASSERT_NE(call.heartbeat.service[0], 0);
		ASSERT_NE(call.heartbeat.port, 0);
		ASSERT_GE(call.heartbeat.slots, 1u);
		ASSERT_LE(call.heartbeat.slots, 100000u);
		ASSERT_LE(call.heartbeat.cold_ms, 3600000u);
		ASSERT_LE(call.heartbeat.seq, (uint64_t)INT64_MAX);
	}
	EXPECT_GT(accepted, MUTATIONS / 100);
}

RC_GTEST_PROP(Request, RandomBytesAreRejected, (std::vector<char> noise))
{
	hts_request request = {};
	pf_request call;

	request.method = EVHTTP_REQ_PUT;
	request.path = "/instances/i-1";
	request.body = noise.data();
	request.len = noise.size();
	RC_ASSERT(pf_parse_request(&request, &call, nullptr) == JJ_INVALID);
}
