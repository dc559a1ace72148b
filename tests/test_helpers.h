/* Helpers for unit tests: hand-encoded CoAP datagrams and table edits. */
#ifndef TESTS_TEST_HELPERS_H
#define TESTS_TEST_HELPERS_H

#include <cstdint>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "jujube/coap_codec.h"
#include "jujube/table.h"
}

/*
 * Builds a CoAP datagram byte by byte, without coap_codec, so that tests of
 * the codec don't depend on it.
 */
struct coap_bytes {
	std::vector<uint8_t> data;

	coap_bytes(int type, int code, uint16_t mid, const std::string &token)
	{
		data.push_back((uint8_t)(0x40 | type << 4 | token.size()));
		data.push_back((uint8_t)code);
		data.push_back((uint8_t)(mid >> 8));
		data.push_back((uint8_t)mid);
		data.insert(data.end(), token.begin(), token.end());
	}
	/*
	 * Options must be added in ascending order. Deltas must be below
	 * 269 + 255.
	 */
	coap_bytes &option(int number, const std::string &value)
	{
		int delta = number - last;
		int len = (int)value.size();
		int d = delta < 13 ? delta : delta < 269 ? 13 : 14;
		int l = len < 13 ? len : 13;

		last = number;
		data.push_back((uint8_t)(d << 4 | l));
		if (d == 13)
			data.push_back((uint8_t)(delta - 13));
		if (d == 14) {
			data.push_back((uint8_t)((delta - 269) >> 8));
			data.push_back((uint8_t)(delta - 269));
		}
		if (l == 13)
			data.push_back((uint8_t)(len - 13));
		data.insert(data.end(), value.begin(), value.end());
		return *this;
	}
	coap_bytes &payload(const std::string &text)
	{
		data.push_back(0xff);
		data.insert(data.end(), text.begin(), text.end());
		return *this;
	}

      private:
	int last = 0;
};

#define COAP_GET 1
#define COAP_POST 2
#define COAP_CREATED 0x41
#define COAP_CHANGED 0x44
#define COAP_CONTENT 0x45
#define OPT_OBSERVE 6
#define OPT_PATH 11
#define OPT_QUERY 15
#define OPT_BLOCK2 23
#define OPT_ECHO 252

/* An edit that sets the state of a row whose revision is base. */
inline tbl_edit make_state_edit(Jj__Kind kind, const char *name,
				Jj__RowState state, uint64_t base)
{
	tbl_edit edit = {};

	edit.row.kind = kind;
	snprintf(edit.row.name, sizeof(edit.row.name), "%s", name);
	edit.row.state = state;
	edit.fields = TBL_STATE;
	edit.base_revision = base;
	return edit;
}

/* A change that consists of one edit; edit must outlive it. */
inline tbl_edits make_change(tbl_edit *edit, const char *id, const char *who)
{
	tbl_edits edits = {};

	edits.items = edit;
	edits.count = 1;
	edits.when = 1000;
	snprintf(edits.id, sizeof(edits.id), "%s", id);
	snprintf(edits.who, sizeof(edits.who), "%s", who);
	return edits;
}

/* Adds a service row with an address, as the next table revision. */
inline void add_service(struct tbl *tbl, const char *name, const char *address)
{
	tbl_edit edit =
		make_state_edit(JJ__KIND__KIND_SERVICE, name,
				JJ__ROW_STATE__STATE_IN, TBL_ANY_REVISION);
	tbl_edits edits = make_change(&edit, name, "test");

	edit.fields |= TBL_ADDRESS;
	snprintf(edit.row.address, sizeof(edit.row.address), "%s", address);
	(void)tbl_apply(tbl, &edits, NULL);
}

/*
 * Applies one to six random changes: replaces, cuts, inserts or repeats bytes.
 */
inline std::string mutate(std::string bytes, std::mt19937 &rng)
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

#endif
