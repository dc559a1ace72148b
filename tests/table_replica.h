/*
 * A store that operators write to, and tables fed by its lists and by peers.
 * For the tests of one kind of history each.
 */
#ifndef TABLE_REPLICA_H
#define TABLE_REPLICA_H

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "jujube/table.h"
}

static const char CONFIG[] = "op/config";
static const Jj__RowState REMOVED = JJ__ROW_STATE__STATE_REMOVED;

/* Names of services and their flow limits. */
using config = std::map<std::string, uint32_t>;

/* The naive version: what operators want, and a store that may forget it. */
struct operators_store {
	struct item {
		uint64_t revision;
		uint64_t version;
		config services; /* empty: an evacuation */
	};
	struct state {
		std::map<std::string, item> items;
		uint64_t revision = 10;
	};
	state now;
	state copy;
	uint64_t era = 1;
	uint64_t version = 0;
	config services;
	std::set<std::string> evacuated;

	void write_config()
	{
		now.items[CONFIG] = { ++now.revision, version, services };
	}
	void set_config(const config &wanted)
	{
		services = wanted;
		version += 2;
		write_config();
	}
	void evacuate(const std::string &zone)
	{
		evacuated.insert(zone);
		now.items["op/evacuate/" + zone] = { ++now.revision, 0, {} };
	}
	void take_back(const std::string &zone)
	{
		evacuated.erase(zone);
		if (now.items.erase("op/evacuate/" + zone))
			now.revision++;
	}
	void restore()
	{
		now = copy;
		era++;
	}
	/* Operators repeat what differs from what they want. */
	void write_again()
	{
		std::set<std::string> zones = evacuated;

		if (version && (!now.items.count(CONFIG) ||
				now.items[CONFIG].version != version))
			write_config();
		for (auto &zone : { "z0", "z1" }) {
			int stored = (int)now.items.count("op/evacuate/" +
							  std::string(zone));

			if (zones.count(zone) && !stored)
				evacuate(zone);
			if (!zones.count(zone) && stored)
				take_back(zone);
		}
	}
};

/* A process's table, fed by lists of the store and by peers. */
struct replica {
	struct tbl tbl;

	explicit replica(uint32_t capacity = 64)
	{
		EXPECT_TRUE(tbl_init(&tbl, capacity));
	}
	~replica()
	{
		tbl_finish(&tbl);
	}
	replica(const replica &) = delete;
	replica &operator=(const replica &) = delete;

	jj_status apply(const char *name, std::vector<tbl_row> rows,
			uint64_t version, uint64_t revision)
	{
		tbl_source source = { name, rows.data(), (uint32_t)rows.size(),
				      version, revision };
		tbl_update update;
		jj_error err;

		return tbl_replace_source(&tbl, &source, &update, &err);
	}
	void list(const operators_store &store, int hold,
		  jj_status expected = JJ_OK)
	{
		std::vector<const char *> sources;
		uint64_t newest = 0;
		tbl_update update;

		for (auto &entry : store.now.items) {
			auto &item = entry.second;
			std::vector<tbl_row> rows;
			tbl_row row = {};

			row.weight = TBL_WEIGHT_DEFAULT;
			row.kind = JJ__KIND__KIND_SERVICE;
			for (auto &service : item.services) {
				snprintf(row.name, sizeof(row.name), "%s",
					 service.first.c_str());
				row.max_flows = service.second;
				rows.push_back(row);
			}
			if (entry.first != CONFIG) {
				row.kind = JJ__KIND__KIND_DATA_CENTRE;
				row.state = JJ__ROW_STATE__STATE_DRAINING;
				snprintf(row.name, sizeof(row.name), "%s",
					 entry.first.c_str() +
						 strlen("op/evacuate/"));
				rows.push_back(row);
			}
			EXPECT_EQ(apply(entry.first.c_str(), rows, item.version,
					tbl_compose_revision(store.era,
							     item.revision)),
				  entry.first == CONFIG ? expected : JJ_OK);
			sources.push_back(entry.first.c_str());
			if (item.revision > newest)
				newest = item.revision;
		}
		tbl_retain_sources(
			&tbl, sources.data(), (uint32_t)sources.size(),
			tbl_compose_revision(store.era, store.now.revision),
			hold, &update);
		if (update.changed)
			tbl_raise_revision(
				&tbl, tbl_compose_revision(store.era,
							   store.now.revision));
		if (newest)
			tbl_raise_revision(
				&tbl, tbl_compose_revision(store.era, newest));
	}
	jj_status merge(const replica &peer, uint64_t since)
	{
		size_t len = 0;
		uint8_t *packed = tbl_pack(&peer.tbl, since, &len);
		Jj__Table *msg = jj__table__unpack(NULL, len, packed);
		jj_error err;
		jj_status status = tbl_merge(&tbl, msg, &err);

		jj__table__free_unpacked(msg, NULL);
		free(packed);
		return status;
	}
	/* As processes do: only a peer with a higher revision is asked. */
	void pull(const replica &peer)
	{
		jj_status status = JJ_OK;

		if (peer.tbl.revision > tbl.revision)
			status = merge(peer, tbl.revision);
		if (status == JJ_INCOMPLETE)
			status = merge(peer, 0);
		EXPECT_EQ(status, JJ_OK);
	}
	config services() const
	{
		config out;

		for (uint32_t i = 0; i < tbl.count; i++)
			if (tbl.rows[i].kind == JJ__KIND__KIND_SERVICE &&
			    tbl.rows[i].state != REMOVED)
				out[tbl.rows[i].name] = tbl.rows[i].max_flows;
		return out;
	}
	std::set<std::string> evacuated() const
	{
		std::set<std::string> out;

		for (uint32_t i = 0; i < tbl.count; i++)
			if (tbl.rows[i].kind == JJ__KIND__KIND_DATA_CENTRE &&
			    tbl.rows[i].state != REMOVED)
				out.insert(tbl.rows[i].name);
		return out;
	}
};

#endif
