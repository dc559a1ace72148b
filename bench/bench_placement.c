/*
 * placement - how unevenly requests are distributed over a service's targets
 *
 * Simulates requests of new flows that arrive as a Poisson stream at 75%
 * utilisation; service times are log-normal. Each rule places the same stream:
 *   random            any target
 *   rendezvous        the target that ranks first by rendezvous hashing
 *   maglev            a Maglev lookup table of 65537 entries
 *   balancers         each of B balancers picks the less loaded of the first
 *                     two ranks, by the loads in the answers that it relayed
 *   walk, N asks      the first rank; when its load is above the mean by load
 *                     reports up to AGT_LOAD_INTERVAL_US old, the packet
 *                     visits up to N other targets and the least loaded one
 *                     gets it, as in src/core/agent_place.c
 *   perfect           the least loaded target at that time (the optimum)
 * Prints for each rule:
 *   instant           load of the busiest target over the mean, in requests in
 *                     flight, averaged over all arrivals
 *   over time         the same ratio for requests placed in the whole run
 *   find it full      requests placed at a target without a free slot
 *   off rank          requests not placed at their first rank
 *   passes            forwards between targets for each request
 *
 * usage: bench_placement [SEED [TARGETS [SLOTS [SERVICE_MS]]]]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "bench.h"
#include "jujube/agent.h"
#include "jujube/rank.h"

#define TARGETS_MAX 64
#define BALANCERS_MAX 64
#define REQUESTS 200000
#define UTILISATION 0.75
#define SERVICE_SIGMA 1.0
#define MAGLEV_SIZE 65537

enum rule {
	RANDOM,
	RENDEZVOUS,
	MAGLEV,
	TWO_CHOICES,
	WALK_1,
	WALK_2,
	WALK_3,
	LEAST_LOADED,
	RULE_COUNT
};

struct simulation {
	enum rule rule;
	int targets;
	int slots;
	int balancers;
	double service_us;
	uint64_t seed;
	struct rnk_node nodes[TARGETS_MAX];
	int maglev[MAGLEV_SIZE];
	double completions[TARGETS_MAX][256]; /* time, of requests in flight */
	int in_flight[TARGETS_MAX];
	uint64_t placed[TARGETS_MAX];
	int reported_loads[TARGETS_MAX]
			  [TARGETS_MAX]; /* by agent, then by target */
	double reported_at[TARGETS_MAX];
	int balancer_loads[BALANCERS_MAX][TARGETS_MAX];
	uint64_t slots_full;
	uint64_t forwards;
	uint64_t off_rank;
	double busiest_sum;
	double mean_sum;
};

/* -- placement rules ----------------------------------------------------- */

static void fill_maglev(struct simulation *r)
{
	uint64_t next[TARGETS_MAX] = { 0 };
	int filled = 0;
	int i;

	for (i = 0; i < MAGLEV_SIZE; i++)
		r->maglev[i] = -1;
	while (filled < MAGLEV_SIZE) {
		for (i = 0; i < r->targets && filled < MAGLEV_SIZE; i++) {
			uint64_t offset = r->nodes[i].id % MAGLEV_SIZE;
			uint64_t skip = r->nodes[i].id / MAGLEV_SIZE %
						(MAGLEV_SIZE - 1) +
					1;
			uint64_t slot;

			do {
				slot = (offset + next[i]++ * skip) %
				       MAGLEV_SIZE;
			} while (r->maglev[slot] >= 0);
			r->maglev[slot] = i;
			filled++;
		}
	}
}

static int least_loaded(const struct simulation *r, const int *loads)
{
	int best = 0;
	int i;

	for (i = 1; i < r->targets; i++)
		if (loads[i] < loads[best])
			best = i;
	return best;
}

/*
 * As in src/core/agent_place.c, but with the same cap for all targets: the
 * other target with the lowest reported load, or -1 when the current one may
 * take the request because it is not above the mean and has a free slot.
 */
static int least_loaded_other(struct simulation *r, int current)
{
	double sum = r->in_flight[current];
	int best = -1;
	int i;

	for (i = 0; i < r->targets; i++) {
		if (i == current)
			continue;
		sum += r->reported_loads[current][i];
		if (best < 0 || r->reported_loads[current][i] <
					r->reported_loads[current][best])
			best = i;
	}
	if (r->in_flight[current] <= sum / r->targets &&
	    r->in_flight[current] < r->slots)
		return -1;
	r->reported_loads[current][best]++;
	return best;
}

static int walk(struct simulation *r, int first, int probes)
{
	int best = first;
	int current = least_loaded_other(r, first);

	while (current >= 0 && probes--) {
		int next;

		r->forwards++;
		if (r->in_flight[current] < r->in_flight[best])
			best = current;
		if (!r->in_flight[current] || !probes)
			break;
		do {
			next = (int)(bench_random(&r->seed) %
				     (uint64_t)r->targets);
		} while (next == first || next == best || next == current);
		current = next;
	}
	return best;
}

static int place(struct simulation *r, uint64_t key)
{
	int first = rnk_first(r->nodes, r->targets, key);
	int order[2];
	int *balancer_loads;

	switch (r->rule) {
	case RANDOM:
		return (int)(bench_random(&r->seed) % (uint64_t)r->targets);
	case MAGLEV:
		return r->maglev[key % MAGLEV_SIZE];
	case TWO_CHOICES:
		balancer_loads = r->balancer_loads[bench_random(&r->seed) %
						   (uint64_t)r->balancers];
		rnk_order(r->nodes, r->targets, key, order, 2);
		return balancer_loads[order[1]] < balancer_loads[order[0]] ?
			       order[1] :
			       order[0];
	case WALK_1:
		return walk(r, first, 1);
	case WALK_2:
		return walk(r, first, 2);
	case WALK_3:
		return walk(r, first, 3);
	case LEAST_LOADED:
		return least_loaded(r, r->in_flight);
	default:
		return first;
	}
}

/* -- simulated time ------------------------------------------------------ */

/*
 * Completes the requests that end by now. One balancer learns the target's
 * load from each answer; agents learn it from reports sent every
 * AGT_LOAD_INTERVAL_US.
 */
static void complete_due(struct simulation *r, double now)
{
	int t;

	for (t = 0; t < r->targets; t++) {
		int i = 0;

		while (i < r->in_flight[t]) {
			if (r->completions[t][i] > now) {
				i++;
				continue;
			}
			r->completions[t][i] =
				r->completions[t][--r->in_flight[t]];
			r->balancer_loads[bench_random(&r->seed) %
					  (uint64_t)r->balancers][t] =
				r->in_flight[t];
		}
		if (now - r->reported_at[t] >= AGT_LOAD_INTERVAL_US) {
			int to;

			r->reported_at[t] = now;
			for (to = 0; to < r->targets; to++)
				r->reported_loads[to][t] = r->in_flight[t];
		}
	}
}

static void sample_load(struct simulation *r)
{
	int busiest = 0;
	double sum = 0;
	int t;

	for (t = 0; t < r->targets; t++) {
		sum += r->in_flight[t];
		if (r->in_flight[t] > busiest)
			busiest = r->in_flight[t];
	}
	r->busiest_sum += busiest;
	r->mean_sum += sum / r->targets;
}

static void run(struct simulation *r)
{
	double interarrival_us =
		r->service_us / (UTILISATION * r->targets * r->slots);
	double now = 0;
	int i;

	for (i = 0; i < REQUESTS; i++) {
		uint64_t key = bench_random(&r->seed);
		double duration_us = r->service_us *
				     bench_lognormal(&r->seed, SERVICE_SIGMA);
		int t;

		now += -log(bench_uniform(&r->seed)) * interarrival_us;
		complete_due(r, now);
		t = place(r, key);
		r->slots_full += r->in_flight[t] >= r->slots;
		r->off_rank += t != rnk_first(r->nodes, r->targets, key);
		r->placed[t]++;
		if (r->in_flight[t] < 256)
			r->completions[t][r->in_flight[t]++] =
				now + duration_us;
		sample_load(r);
	}
}

static void report(const struct simulation *r, const char *name)
{
	uint64_t most = 0;
	uint64_t all = 0;
	int t;

	for (t = 0; t < r->targets; t++) {
		all += r->placed[t];
		if (r->placed[t] > most)
			most = r->placed[t];
	}
	printf("%s\t%d\t%.2f\t%.3f\t%.1f%%\t%.0f%%\t%.2f\n", name, r->balancers,
	       r->busiest_sum / r->mean_sum,
	       (double)most * r->targets / (double)all,
	       100.0 * (double)r->slots_full / REQUESTS,
	       100.0 * (double)r->off_rank / REQUESTS,
	       (double)r->forwards / REQUESTS);
}

int main(int argc, char **argv)
{
	static const char *const names[] = { "random",	     "rendezvous",
					     "maglev",	     "balancers",
					     "walk, 1 ask",  "walk, 2 asks",
					     "walk, 3 asks", "perfect" };
	static const int counts[] = { 3, 16, 64 };
	static struct simulation r;
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 20261204;
	int targets = argc > 2 ? atoi(argv[2]) : 7;
	int slots = argc > 3 ? atoi(argv[3]) : 5;
	double service_ms = argc > 4 ? atof(argv[4]) : 400;
	int rule;
	int c;
	int t;

	if (targets < 4 || targets > TARGETS_MAX)
		return 2;
	printf("rule\tbalancers\tinstant\tover time\tfind it full\toff rank\tpasses\n");
	for (c = 0; c < 3; c++) {
		for (rule = 0; rule < RULE_COUNT; rule++) {
			memset(&r, 0, sizeof(r));
			r.rule = (enum rule)rule;
			r.targets = targets;
			r.slots = slots;
			r.balancers = counts[c];
			r.service_us = service_ms * 1000;
			r.seed = seed;
			for (t = 0; t < targets; t++) {
				char name[32];

				snprintf(name, sizeof(name), "target-%d", t);
				r.nodes[t].id = rnk_name_id(name);
				r.nodes[t].weight = 100;
			}
			fill_maglev(&r);
			run(&r);
			report(&r, names[rule]);
		}
	}
	return 0;
}
