/*
 * decide - cost of the balancer's routing decision, and memory per flow
 *
 * Known flows are found in the route cache; for new flows 1 to 1,000 targets
 * are ranked. Also measures sealing and opening a packet, building a view, the
 * packed size of the table, and the sizes of the main structures.
 * usage: bench_decide [SEED]
 */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "bench.h"
#include "jujube/agent.h"
#include "jujube/frame.h"
#include "jujube/route.h"

#define ROUNDS 1000000

static void discard_message(void *ctx, uint32_t ip, uint16_t port,
			    Jj__Envelope *env)
{
	(void)ctx;
	(void)ip;
	(void)port;
	(void)env;
}

static void add_agents(struct mbr *mbr, int count)
{
	int i;

	for (i = 0; i < count; i++) {
		Jj__Member member = JJ__MEMBER__INIT;
		Jj__Member *list = &member;
		char name[32];

		snprintf(name, sizeof(name), "agent-%d", i);
		member.name = name;
		member.id = rnk_name_id(name);
		member.role = JJ__ROLE__ROLE_AGENT;
		member.data_centre = "dc";
		member.service = "s";
		member.incarnation = 1;
		member.version = 1;
		member.ip = 0x7f000001;
		member.control_port = 1;
		member.data_port = 2;
		member.phase = JJ__PHASE__PHASE_WARM;
		mbr_merge(mbr, 0, &list, 1);
	}
}

static struct viw *build_view(int agents, double *build_us)
{
	struct mbr_desc desc = { .self = { .name = "b", .incarnation = 1 },
				 .capacity = 16384,
				 .hooks = { .send = discard_message } };
	struct tbl_edit edit = { .row = { .kind = JJ__KIND__KIND_SERVICE,
					  .name = "s",
					  .address = "127.0.0.1:5683" },
				 .fields = TBL_ADDRESS,
				 .base_revision = TBL_ANY_REVISION };
	struct tbl_edits edits = { .items = &edit, .count = 1, .id = "1" };
	struct mbr mbr;
	struct tbl tbl;
	struct viw *view;
	uint64_t start_ns;

	mbr_resolve(&desc, NULL);
	mbr_init(&mbr, &desc, 0);
	tbl_init(&tbl, 64);
	tbl_apply(&tbl, &edits, NULL);
	add_agents(&mbr, agents);
	start_ns = bench_ns();
	view = viw_build(&tbl, &mbr);
	*build_us = (double)(bench_ns() - start_ns) / 1000;
	mbr_finish(&mbr);
	tbl_finish(&tbl);
	return view;
}

static double measure_pick_ns(struct rt *rt, const struct viw *view,
			      uint64_t *seed, uint64_t key_count, int cached)
{
	const struct viw_service *service = &view->services[0];
	struct rt_choice choice;
	uint64_t sum = 0;
	uint64_t start_ns;
	uint64_t i;

	for (i = 0; cached && i < key_count; i++)
		rt_learn(rt, rnk_hash(&i, 8), view->agents[0].id, 1000);
	start_ns = bench_ns();
	for (i = 0; i < ROUNDS; i++) {
		uint64_t flow = bench_random(seed) % key_count;

		if (!cached)
			flow |= 1ull << 63; /* not in the cache */
		rt_pick(rt, view, service, rnk_hash(&flow, 8), 1000, &choice);
		sum += choice.agent->ip;
	}
	if (!sum)
		abort();
	return (double)(bench_ns() - start_ns) / ROUNDS;
}

static void print_frame_times(void)
{
	struct frm_key key = { { 1 } };
	static const JJ_ATOMIC(uint64_t) incarnation = 1;
	struct frm_sender out = { .key = &key,
				  .sender = 1,
				  .incarnation = &incarnation };
	struct frm_arena *arena = calloc(1, sizeof(*arena));
	struct frm_replay replay;
	uint8_t data[200] = { 0 };
	uint8_t buf[FRM_MAX_DATAGRAM];
	uint64_t start_ns;
	uint64_t seal_ns = 0;
	uint64_t open_ns = 0;
	int i;

	frm_arena_init(arena);
	frm_replay_init(&replay, 0);
	for (i = 0; i < ROUNDS; i++) {
		Jj__Envelope env = JJ__ENVELOPE__INIT;
		Jj__Packet packet = JJ__PACKET__INIT;
		Jj__Envelope *decoded;
		size_t len;

		packet.data.data = data;
		packet.data.len = sizeof(data);
		env.body_case = JJ__ENVELOPE__BODY_PACKET;
		env.packet = &packet;
		start_ns = bench_ns();
		len = frm_seal(&out, &env, buf, sizeof(buf));
		seal_ns += bench_ns() - start_ns;
		start_ns = bench_ns();
		if (frm_open(&key, &replay, arena, buf, len, &decoded) != JJ_OK)
			abort();
		open_ns += bench_ns() - start_ns;
	}
	printf("seal a 200-byte packet\t%.0f ns\nopen it\t%.0f ns\n",
	       (double)seal_ns / ROUNDS, (double)open_ns / ROUNDS);
	frm_replay_finish(&replay);
	free(arena);
}

static void add_row(struct tbl *tbl, Jj__Kind kind, const char *prefix, int i)
{
	struct tbl_edit edit = { .row = { .kind = kind },
				 .fields = TBL_WEIGHT | TBL_ADDRESS,
				 .base_revision = TBL_ANY_REVISION };
	struct tbl_edits edits = { .items = &edit, .count = 1 };

	snprintf(edit.row.name, sizeof(edit.row.name), "%s-%d", prefix, i);
	snprintf(edit.row.address, sizeof(edit.row.address), "10.%d.%d.1:5683",
		 i / 250, i % 250);
	if (kind == JJ__KIND__KIND_TARGET)
		snprintf(edit.row.service, sizeof(edit.row.service),
			 "service-%d", i % 4700);
	edit.row.weight = 100;
	snprintf(edits.id, sizeof(edits.id), "%024d", i);
	snprintf(edits.who, sizeof(edits.who), "operator");
	edits.when = 1796000000;
	if (tbl_apply(tbl, &edits, NULL) != JJ_OK)
		abort();
}

/*
 * Packed size of a table of the design size (4,700 services, 7,200
 * targets), and sizes of the structures.
 */
static void print_sizes(void)
{
	struct tbl tbl;
	size_t len = 0;
	int i;

	tbl_init(&tbl, 0);
	for (i = 0; i < 4700; i++)
		add_row(&tbl, JJ__KIND__KIND_SERVICE, "service", i);
	for (i = 0; i < 7200; i++)
		add_row(&tbl, JJ__KIND__KIND_TARGET, "target", i);
	free(tbl_pack(&tbl, 0, &len));
	printf("table of 11900 rows\t%zu bytes packed\n", len);
	printf("bytes: row %zu, member %zu, lane %zu, flow %zu, last answer "
	       "%zu, exception %zu, ledger entry %zu, view agent %zu\n",
	       sizeof(struct tbl_row), sizeof(struct mbr_member),
	       sizeof(struct frm_lane), sizeof(struct agt_flow),
	       sizeof(struct agt_last_answer), sizeof(struct agt_exception),
	       sizeof(struct ldg_entry), sizeof(struct viw_agent));
	tbl_finish(&tbl);
}

int main(int argc, char **argv)
{
	static const int sizes[] = { 1, 7, 30, 100, 300, 1000 };
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 20261204;
	struct rt_desc desc = { .max_flows = 300000 };
	struct rt rt;
	double view_build_us;
	size_t i;

	if (sodium_init() < 0 || rt_init(&rt, &desc) != JJ_OK)
		return 1;
	printf("targets\tknown flow ns\tnew flow ns\n");
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		struct viw *view = build_view(sizes[i], &view_build_us);

		printf("%d\t%.0f\t%.0f\n", sizes[i],
		       measure_pick_ns(&rt, view, &seed, 300000, 1),
		       measure_pick_ns(&rt, view, &seed, 300000, 0));
		viw_free(view);
	}
	printf("cache for 300000 flows\t%.1f bytes each\n",
	       (double)rt.sets * RT_SHARDS * RT_WAYS * sizeof(struct rt_entry) /
		       300000);
	print_frame_times();
	viw_free(build_view(7200, &view_build_us));
	printf("build the view of 7200 agents\t%.0f us\n", view_build_us);
	rt_finish(&rt);
	print_sizes();
	return 0;
}
