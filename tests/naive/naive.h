/*
 * naive - reference implementations for differential tests
 *
 * Written to be obviously correct, without regard to speed. The tests compare
 * the product's modules with them.
 */
#ifndef TESTS_NAIVE_H
#define TESTS_NAIVE_H

#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace naive
{

/*
 * Rendezvous hashing: hash() gives each candidate an exponential variate; the
 * lowest ranks first.
 */
struct candidate {
	uint64_t id;
	uint32_t weight;
};

template <typename Hash>
std::vector<int> rank_order(const std::vector<candidate> &all, uint64_t key,
			    Hash hash)
{
	std::multimap<double, int> sorted;
	std::vector<int> out;

	for (size_t i = 0; i < all.size(); i++)
		if (all[i].weight)
			sorted.emplace(hash(all[i], key), (int)i);
	for (auto &[score, at] : sorted)
		out.push_back(at);
	return out;
}

/* An entry of the ledger is found until it expires. */
struct ledger {
	struct entry {
		int state;
		std::string answer;
		uint64_t created;
	};
	std::map<uint64_t, entry> entries;

	/* Removes entries older than keep; pending: value of the state. */
	void expire(uint64_t now, uint64_t keep, int pending)
	{
		/* oldest first; a pending entry also keeps all newer ones */
		for (;;) {
			auto oldest = entries.end();

			for (auto it = entries.begin(); it != entries.end();
			     ++it)
				if (oldest == entries.end() ||
				    it->second.created < oldest->second.created)
					oldest = it;
			if (oldest == entries.end() ||
			    now - oldest->second.created < keep ||
			    oldest->second.state == pending)
				return;
			entries.erase(oldest);
		}
	}
};

/* Replay protection: the set of all counters accepted so far. */
struct replay {
	std::map<uint64_t, std::map<uint64_t, bool>>
		admitted; /* lane, counter */

	bool admit(uint64_t lane, uint64_t counter)
	{
		return admitted[lane].emplace(counter, true).second;
	}
};

/* A key-value cell with compare-and-swap, as on the platform. */
struct cell {
	std::optional<std::string> value;
	uint64_t index = 0;
	uint64_t next = 10;

	bool swap(uint64_t at, const std::string &bytes)
	{
		if (at != (value ? index : 0))
			return false;
		value = bytes;
		index = ++next;
		return true;
	}
};

} // namespace naive

#endif
