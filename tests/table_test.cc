/* The table, its CSV format, and changes committed to a failing platform. */
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <deque>

#include "test_helpers.h"
#include "naive/naive.h"

extern "C" {
#include "jujube/edit.h"
}

static const Jj__Kind CENTRE = JJ__KIND__KIND_DATA_CENTRE;
static const Jj__RowState IN = JJ__ROW_STATE__STATE_IN;
static const Jj__RowState OUT = JJ__ROW_STATE__STATE_OUT;

struct test_table {
	struct tbl tbl;

	test_table()
	{
		EXPECT_TRUE(tbl_init(&tbl, 32));
	}
	~test_table()
	{
		tbl_finish(&tbl);
	}
	test_table(const test_table &) = delete;

	jj_status set(const char *name, Jj__RowState state, uint64_t base,
		      const char *id, jj_error *err = nullptr)
	{
		tbl_edit edit = make_state_edit(CENTRE, name, state, base);
		tbl_edits edits = make_change(&edit, id, "eva");

		return tbl_apply(&tbl, &edits, err);
	}
	std::string packed(uint64_t since = 0) const
	{
		size_t len = 0;
		uint8_t *bytes = tbl_pack(&tbl, since, &len);
		std::string out((char *)bytes, len);

		free(bytes);
		return out;
	}
	jj_status merge(const std::string &bytes, jj_error *err = nullptr)
	{
		Jj__Table *msg = jj__table__unpack(
			nullptr, bytes.size(), (const uint8_t *)bytes.data());
		jj_status status = tbl_merge(&tbl, msg, err);

		jj__table__free_unpacked(msg, nullptr);
		return status;
	}
	Jj__RowState state(const char *name) const
	{
		return tbl_find(&tbl, CENTRE, name)->state;
	}
};

/* -- rows ---------------------------------------------------------------- */

TEST(Table, SameRowConflictsOtherRowDoesNot)
{
	test_table t;
	jj_error err;

	ASSERT_EQ(t.set("a", IN, 0, "1"), JJ_OK);
	ASSERT_EQ(t.set("b", IN, 0, "2"), JJ_OK);
	ASSERT_EQ(t.set("a", OUT, 1, "3"), JJ_OK);
	EXPECT_EQ(t.set("a", IN, 1, "4", &err), JJ_CONFLICT);
	EXPECT_NE(std::string(err.message).find("state=out"),
		  std::string::npos);
	EXPECT_NE(std::string(err.message).find("state=in"), std::string::npos);
	EXPECT_EQ(t.set("b", OUT, 2, "5"), JJ_OK);
	EXPECT_EQ(t.tbl.revision, 4u);
}

struct row_case {
	const char *csv;
	const char *reason;
};

static const row_case bad_tables[] = {
	{ "", "no header line" },
	{ "kind,name,colour\n", "line 1: unknown column 'colour'" },
	{ "kind,name,state\nhouse,a,in\n", "line 2: unknown kind 'house'" },
	{ "kind,name,state\ntarget,a\n", "line 2: wrong number of fields" },
	{ "kind,name,state\ntarget,,in\n", "row without kind or name" },
	{ "kind,name,state\ntarget,a,up\n", "'up' is not in, draining" },
	{ "kind,name,weight\ntarget,a,heavy\n", "is not a number" },
	{ "kind,name,weight\ntarget,a,-1\n", "is not a number" },
	{ "kind,name,version\ntarget,a,x\n", "bad version" },
	{ "kind,name,state\ntarget,\"a,in\n", "line 2" },
};

TEST(Table, BadCsvIsRejectedWithLineAndReason)
{
	for (const row_case &c : bad_tables) {
		tbl_edits edits = {};
		jj_error err = {};

		EXPECT_EQ(
			tbl_edits_from_csv(c.csv, strlen(c.csv), &edits, &err),
			JJ_INVALID)
			<< c.csv;
		EXPECT_EQ(edits.items, nullptr);
		EXPECT_NE(std::string(err.message).find(c.reason),
			  std::string::npos)
			<< c.csv << " -> " << err.message;
	}
}

static const row_case bad_rows[] = {
	{ "kind,name,address\nservice,s,nowhere\n", "not ip:port" },
	{ "kind,name,address\nservice,s,1.2.3.4:0\n", "not a port" },
	{ "kind,name,weight\ntarget,a,10001\n", "over 10000" },
	{ "kind,name,state\ntarget,a b,in\n", "letters, digits" },
	{ "kind,name,address\nservice,s,127.0.0.1:9\n",
	  "belongs to service held" },
	{ "kind,name,slots\ntarget,a,100001\n", "limit out of range" },
};

TEST(Table, BadRowsAreRejectedAndChangeNothing)
{
	test_table t;

	add_service(&t.tbl, "held", "127.0.0.1:9");
	for (const row_case &c : bad_rows) {
		tbl_edits edits = {};
		jj_error err = {};

		ASSERT_EQ(
			tbl_edits_from_csv(c.csv, strlen(c.csv), &edits, &err),
			JJ_OK)
			<< err.message;
		EXPECT_EQ(tbl_apply(&t.tbl, &edits, &err), JJ_INVALID) << c.csv;
		EXPECT_NE(std::string(err.message).find(c.reason),
			  std::string::npos)
			<< c.csv << " -> " << err.message;
		free(edits.items);
	}
	EXPECT_EQ(t.tbl.revision, 1u);
	EXPECT_EQ(t.tbl.count, 1u);
}

TEST(Table, UnmodifiedCsvLinesAreNoEdits)
{
	test_table t;
	tbl_edits edits = {};
	jj_error err = {};

	add_service(&t.tbl, "s", "127.0.0.1:9");
	ASSERT_EQ(t.set("a", IN, 0, "1"), JJ_OK);
	char *text = tbl_to_csv(&t.tbl);
	std::string csv = text;
	free(text);
	ASSERT_EQ(tbl_edits_from_csv(csv.data(), csv.size(), &edits, &err),
		  JJ_OK)
		<< err.message;
	EXPECT_EQ(edits.count, 0u);
	free(edits.items);
	/* one cell was edited */
	size_t at = csv.find("in", csv.find("data-centre"));
	csv.replace(at, 2, "out");
	ASSERT_EQ(tbl_edits_from_csv(csv.data(), csv.size(), &edits, &err),
		  JJ_OK);
	ASSERT_EQ(edits.count, 1u);
	EXPECT_STREQ(edits.items[0].row.name, "a");
	EXPECT_EQ(edits.items[0].base_revision, 2u);
	EXPECT_EQ(tbl_apply(&t.tbl, &edits, &err), JJ_OK) << err.message;
	EXPECT_EQ(t.state("a"), OUT);
	free(edits.items);
}

/* -- merge --------------------------------------------------------------- */

/* Updates may arrive in any order and more than once. */
RC_GTEST_PROP(Table, MergeInAnyOrderGivesTheSameTable,
	      (std::vector<uint8_t> changes,
	       std::vector<uint8_t> arrival_order))
{
	test_table source;
	test_table sink;
	std::vector<std::string> deltas;

	for (size_t i = 0; i < changes.size(); i++) {
		std::string name(1, (char)('a' + changes[i] % 6));
		uint64_t before = source.tbl.revision;

		RC_ASSERT(source.set(name.c_str(), changes[i] % 2 ? IN : OUT,
				     TBL_ANY_REVISION,
				     std::to_string(i).c_str()) == JJ_OK);
		deltas.push_back(source.packed(before));
	}
	uint64_t highest = 0;
	for (uint8_t at : arrival_order) {
		if (deltas.empty())
			break;
		sink.merge(deltas[at % deltas.size()]);
		RC_ASSERT(sink.tbl.revision >= highest);
		highest = sink.tbl.revision;
	}
	for (auto &delta : deltas)
		sink.merge(delta);
	RC_ASSERT(sink.tbl.revision == source.tbl.revision);
	for (char c = 'a'; c < 'g'; c++) {
		std::string name(1, c);
		auto *a = tbl_find(&source.tbl, CENTRE, name.c_str());
		auto *b = tbl_find(&sink.tbl, CENTRE, name.c_str());
		RC_ASSERT((a != nullptr) == (b != nullptr));
		if (!a)
			continue;
		RC_ASSERT(a->state == b->state);
		RC_ASSERT(a->revision == b->revision);
	}
}

struct message_case {
	const char *name;
	void (*change)(Jj__Table &table, Jj__Row &row);
};

/* 70 characters, 63 of which fit a name. */
static char long_text[] = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
			  "aaaaaaaaaaaaaaaaaa";

static const message_case odd_messages[] = {
	{ "long name", [](Jj__Table &, Jj__Row &r) { r.name = long_text; } },
	{ "long service",
	  [](Jj__Table &, Jj__Row &r) { r.service = long_text; } },
	{ "long address",
	  [](Jj__Table &, Jj__Row &r) {
		  static char address[] =
			  "127.0.0.1:80                                     x";

		  r.address = address;
	  } },
	{ "port out of range",
	  [](Jj__Table &, Jj__Row &r) {
		  static char address[] = "127.0.0.1:4294967376";

		  r.address = address;
	  } },
	{ "no name", [](Jj__Table &, Jj__Row &r) { r.name = &long_text[70]; } },
	{ "unknown kind",
	  [](Jj__Table &, Jj__Row &r) { r.kind = (Jj__Kind)99; } },
	{ "unknown state",
	  [](Jj__Table &, Jj__Row &r) { r.state = (Jj__RowState)-1; } },
	{ "large weight",
	  [](Jj__Table &, Jj__Row &r) { r.weight = 1u << 31; } },
	{ "revision above the table's",
	  [](Jj__Table &, Jj__Row &r) { r.revision = 10; } },
	{ "largest revision",
	  [](Jj__Table &t, Jj__Row &r) {
		  t.revision = UINT64_MAX;
		  r.revision = UINT64_MAX;
	  } },
};

/*
 * Guards against an odd record of the store or of a peer: a name that is too
 * long was cut and became that of another row, and no change could follow the
 * largest revision.
 */
TEST(Table, OddMessagesAreRejectedAndChangeNothing)
{
	for (auto &c : odd_messages) {
		SCOPED_TRACE(c.name);
		tbl tbl;
		Jj__Table table = JJ__TABLE__INIT;
		Jj__Row row = JJ__ROW__INIT;
		Jj__Row *rows[] = { &row };
		char name[] = "new";
		char service[] = "s";
		char address[] = "127.0.0.1:80";

		ASSERT_TRUE(tbl_init(&tbl, 4));
		table.revision = 9;
		table.rows = rows;
		table.n_rows = 1;
		row.kind = JJ__KIND__KIND_ROUTE;
		row.name = name;
		row.service = service;
		row.address = address;
		row.revision = 9;
		c.change(table, row);
		EXPECT_EQ(tbl_merge(&tbl, &table, nullptr), JJ_INVALID);
		EXPECT_EQ(tbl.count, 0u);
		EXPECT_EQ(tbl.revision, 0u);
		tbl_finish(&tbl);
	}
}

TEST(Table, OlderTableIsRejected)
{
	test_table t;

	ASSERT_EQ(t.set("a", IN, 0, "1"), JJ_OK);
	std::string older = t.packed();
	ASSERT_EQ(t.set("a", OUT, 1, "2"), JJ_OK);
	EXPECT_EQ(t.merge(older), JJ_STALE);
	EXPECT_EQ(t.state("a"), OUT);
	EXPECT_EQ(t.tbl.revision, 2u);
}

/* -- changes while the platform fails ------------------------------------ */

/*
 * A change of one operator. The test runs several at the same time, step by
 * step in a random order, on one platform cell with random faults: a read
 * fails or returns an older value; a swap without a reply takes effect, never
 * takes effect, or takes effect much later.
 */
struct operator_change {
	tbl_edit edit;
	tbl_edits edits;
	struct edt edt;
	test_table candidate;
	test_table known;
	std::string name;
};

static std::string cell_value(const naive::cell &cell)
{
	return cell.value.value_or("");
}

/* Performs the next action of a change on the cell, with a fault. */
static void step(operator_change &op, naive::cell &cell,
		 std::deque<naive::cell> &earlier_states,
		 std::vector<std::pair<uint64_t, std::string>> &late_swaps,
		 uint8_t fault)
{
	if (op.edt.action == EDT_READ) {
		const naive::cell &seen =
			fault % 8 == 1 && !earlier_states.empty() ?
				earlier_states[fault / 8 %
					       earlier_states.size()] :
				cell;
		std::string bytes = cell_value(seen);

		if (fault % 8 == 0) {
			edt_on_read(&op.edt, EDT_READ_FAILED, 0, nullptr,
				    &op.known.tbl);
			return;
		}
		Jj__Table *msg = jj__table__unpack(
			nullptr, bytes.size(), (const uint8_t *)bytes.data());
		edt_on_read(&op.edt,
			    seen.value ? EDT_READ_VALUE : EDT_READ_ABSENT,
			    seen.index, msg, &op.known.tbl);
		jj__table__free_unpacked(msg, nullptr);
		return;
	}
	std::string bytes = op.candidate.packed();
	naive::cell before = cell;

	switch (fault % 8) {
	case 0: /* never takes effect, no reply */
		edt_on_swap(&op.edt, EDT_SWAP_UNKNOWN);
		return;
	case 1: /* takes effect, the reply is lost */
		if (cell.swap(op.edt.index, bytes))
			earlier_states.push_back(before);
		edt_on_swap(&op.edt, EDT_SWAP_UNKNOWN);
		return;
	case 2: /* may take effect much later */
		late_swaps.emplace_back(op.edt.index, bytes);
		edt_on_swap(&op.edt, EDT_SWAP_UNKNOWN);
		return;
	default:
		if (cell.swap(op.edt.index, bytes)) {
			earlier_states.push_back(before);
			edt_on_swap(&op.edt, EDT_SWAP_DONE);
		} else {
			edt_on_swap(&op.edt, EDT_SWAP_MISMATCH);
		}
	}
}

RC_GTEST_PROP(Edit, ReportedOutcomesMatchTheStoredTable,
	      (std::vector<std::pair<uint8_t, uint8_t>> steps))
{
	naive::cell cell;
	std::deque<naive::cell> earlier_states;
	std::vector<std::pair<uint64_t, std::string>> late_swaps;
	std::vector<std::unique_ptr<operator_change>> ops;
	test_table seed;

	RC_ASSERT(seed.set("a", IN, 0, "seed") == JJ_OK);
	cell.swap(0, seed.packed());
	for (int i = 0; i < 3; i++) {
		auto op = std::make_unique<operator_change>();

		/* two operators on one row, a third on another */
		op->name = i < 2 ? "a" : "b";
		op->edit = make_state_edit(
			CENTRE, op->name.c_str(),
			i % 2 ? OUT : JJ__ROW_STATE__STATE_DRAINING,
			i < 2 ? 1 : 0);
		op->edits = make_change(
			&op->edit, ("c" + std::to_string(i)).c_str(), "eva");
		op->known.merge(seed.packed());
		edt_init(&op->edt, &op->edits, &op->candidate.tbl);
		ops.push_back(std::move(op));
	}
	auto apply_late_swap = [&](size_t at) {
		naive::cell before = cell;

		if (cell.swap(late_swaps[at].first, late_swaps[at].second))
			earlier_states.push_back(before);
		late_swaps.erase(late_swaps.begin() + at);
	};
	for (auto &[op_number, fault] : steps) {
		operator_change &op = *ops[op_number % 3];

		if (!late_swaps.empty() && op_number % 5 == 4)
			apply_late_swap(fault % late_swaps.size());
		if (op.edt.action != EDT_DONE)
			step(op, cell, earlier_states, late_swaps, fault);
	}
	/* then without faults; late swaps reach the platform first */
	for (int round = 0; round < 40; round++) {
		if (!late_swaps.empty())
			apply_late_swap(0);
		for (auto &op : ops)
			if (op->edt.action != EDT_DONE)
				step(*op, cell, earlier_states, late_swaps, 7);
	}
	test_table final;
	final.merge(cell_value(cell));
	int accepted_on_a = 0;
	for (auto &op : ops) {
		bool stored =
			tbl_find_change(&final.tbl, op->edits.id) != nullptr;

		RC_ASSERT(op->edt.action == EDT_DONE);
		RC_ASSERT((op->edt.outcome == EDT_ACCEPTED) == stored);
		if (op->name == "a")
			accepted_on_a += stored;
	}
	RC_ASSERT(accepted_on_a == 1);
	RC_ASSERT(ops[2]->edt.outcome == EDT_ACCEPTED);
}

TEST(Edit, RestoredPlatformGetsMissingRowsBack)
{
	test_table held, candidate;
	struct edt edt;

	ASSERT_EQ(held.set("a", IN, 0, "1"), JJ_OK);
	std::string old = held.packed();
	ASSERT_EQ(held.set("a", OUT, 1, "2"), JJ_OK);
	edt_init(&edt, nullptr, &candidate.tbl);
	Jj__Table *msg = jj__table__unpack(nullptr, old.size(),
					   (const uint8_t *)old.data());
	edt_on_read(&edt, EDT_READ_VALUE, 11, msg, &held.tbl);
	jj__table__free_unpacked(msg, nullptr);
	ASSERT_EQ(edt.action, EDT_SWAP);
	EXPECT_EQ(edt.index, 11u);
	EXPECT_EQ(candidate.state("a"), OUT);
	EXPECT_GT(candidate.tbl.revision, held.tbl.revision);
	edt_on_swap(&edt, EDT_SWAP_DONE);
	EXPECT_EQ(edt.outcome, EDT_ACCEPTED);
}

/*
 * The platform was restored, and a process that knows only the copy accepted
 * changes at revisions that had been given out before.
 */
TEST(Edit, RevisionsGivenOutAgainLoseNoAcceptedChange)
{
	for (int count = 1; count <= 3; count++) {
		static const char *const names[] = { "x", "y", "z" };
		test_table held, other, candidate;
		struct edt edt;

		ASSERT_EQ(held.set("a", IN, 0, "1"), JJ_OK);
		other.merge(held.packed());
		ASSERT_EQ(held.set("b", OUT, 0, "2"), JJ_OK);
		ASSERT_EQ(held.set("c", OUT, 0, "3"), JJ_OK);
		for (int i = 0; i < count; i++)
			ASSERT_EQ(other.set(names[i], OUT, 0, names[i]), JJ_OK);
		std::string value = other.packed();
		edt_init(&edt, nullptr, &candidate.tbl);
		Jj__Table *msg = jj__table__unpack(
			nullptr, value.size(), (const uint8_t *)value.data());
		edt_on_read(&edt, EDT_READ_VALUE, 11, msg, &held.tbl);
		jj__table__free_unpacked(msg, nullptr);
		ASSERT_EQ(edt.action, EDT_SWAP) << count;
		EXPECT_EQ(candidate.state("b"), OUT);
		EXPECT_EQ(candidate.state("c"), OUT);
		EXPECT_EQ(candidate.state("x"), OUT);
		EXPECT_GT(candidate.tbl.revision, held.tbl.revision);
		EXPECT_GT(candidate.tbl.revision, other.tbl.revision);
	}
}

TEST(Edit, ANewerPlatformIsNotWrittenBack)
{
	test_table held, other, candidate;
	struct edt edt;

	ASSERT_EQ(held.set("a", IN, 0, "1"), JJ_OK);
	other.merge(held.packed());
	ASSERT_EQ(other.set("a", OUT, 1, "2"), JJ_OK);
	std::string value = other.packed();
	edt_init(&edt, nullptr, &candidate.tbl);
	Jj__Table *msg = jj__table__unpack(nullptr, value.size(),
					   (const uint8_t *)value.data());
	edt_on_read(&edt, EDT_READ_VALUE, 11, msg, &held.tbl);
	jj__table__free_unpacked(msg, nullptr);
	EXPECT_EQ(edt.action, EDT_DONE);
	EXPECT_EQ(edt.outcome, EDT_UNCHANGED);
}

/*
 * A swap without a reply is outstanding at index 10. Meanwhile another
 * operator has changed the row, and the platform was restored from a backup.
 * The change must be rejected, but the swap may still take effect, so another
 * swap has to move the index first.
 */
struct outstanding_swap : testing::Test {
	test_table before, other, candidate;
	tbl_edit edit = make_state_edit(CENTRE, "a", OUT, 1);
	tbl_edits edits = make_change(&edit, "mine", "eva");
	struct edt edt;

	void read(uint64_t index, test_table &known)
	{
		std::string bytes = before.packed();
		Jj__Table *msg = jj__table__unpack(
			nullptr, bytes.size(), (const uint8_t *)bytes.data());

		edt_on_read(&edt, EDT_READ_VALUE, index, msg, &known.tbl);
		jj__table__free_unpacked(msg, nullptr);
	}
	void SetUp() override
	{
		ASSERT_EQ(before.set("a", IN, 0, "first"), JJ_OK);
		other.merge(before.packed());
		ASSERT_EQ(other.set("a", JJ__ROW_STATE__STATE_DRAINING, 1,
				    "theirs"),
			  JJ_OK);
		edt_init(&edt, &edits, &candidate.tbl);
		read(10, before);
		ASSERT_EQ(edt.action, EDT_SWAP);
		edt_on_swap(&edt, EDT_SWAP_UNKNOWN);
		ASSERT_TRUE(edt_swap_outstanding(&edt));
	}
	void expect_index_moved_before_conflict()
	{
		ASSERT_EQ(edt.action, EDT_SWAP);
		EXPECT_EQ(tbl_find_change(&candidate.tbl, "mine"), nullptr);
		edt_on_swap(&edt, EDT_SWAP_DONE);
		EXPECT_EQ(edt.outcome, EDT_CONFLICT);
	}
};

TEST_F(outstanding_swap, ConflictAtTheSameIndexIsNotFinalYet)
{
	read(10, other);
	expect_index_moved_before_conflict();
}

TEST_F(outstanding_swap, AnOlderIndexIsInconclusive)
{
	read(9, other);
	expect_index_moved_before_conflict();
}

TEST_F(outstanding_swap, AHigherIndexRulesTheSwapOut)
{
	read(11, other);
	EXPECT_EQ(edt.action, EDT_DONE);
	EXPECT_EQ(edt.outcome, EDT_CONFLICT);
}

/* -- rows by source ------------------------------------------------------ */

struct rows_by_source : testing::Test {
	tbl table;
	tbl_update update = {};
	jj_error err;

	void SetUp() override
	{
		ASSERT_TRUE(tbl_init(&table, 64));
	}
	void TearDown() override
	{
		tbl_finish(&table);
	}
	static tbl_row service(const char *name, uint32_t max_flows)
	{
		tbl_row row = {};

		row.kind = JJ__KIND__KIND_SERVICE;
		row.weight = 100;
		row.max_flows = max_flows;
		snprintf(row.name, sizeof(row.name), "%s", name);
		return row;
	}
	jj_status replace(const char *source, std::vector<tbl_row> rows,
			  uint64_t revision)
	{
		tbl_source item = { source, rows.data(), (uint32_t)rows.size(),
				    0, revision };

		return tbl_replace_source(&table, &item, &update, &err);
	}
	const tbl_row *find(const char *name)
	{
		return tbl_find(&table, JJ__KIND__KIND_SERVICE, name);
	}
};

TEST_F(rows_by_source, ReplaceUpdatesChangedRowsAndRemovesMissingOnes)
{
	ASSERT_EQ(replace("config", { service("a", 1), service("b", 1) }, 5),
		  JJ_OK);
	EXPECT_EQ(update.changed, 2u);
	ASSERT_EQ(replace("config", { service("a", 1) }, 9), JJ_OK);
	EXPECT_EQ(update.changed, 1u);
	EXPECT_EQ(find("a")->revision, 5u);
	EXPECT_EQ(find("b")->state, JJ__ROW_STATE__STATE_REMOVED);
	EXPECT_EQ(find("b")->revision, 9u);
}

TEST_F(rows_by_source, AnOlderReplyOfTheStoreChangesNothing)
{
	ASSERT_EQ(replace("config", { service("a", 2), service("c", 2) }, 9),
		  JJ_OK);
	ASSERT_EQ(replace("config", { service("a", 1) }, 5), JJ_OK);
	EXPECT_EQ(update.changed, 0u);
	EXPECT_EQ(update.ignored, 2u);
	EXPECT_EQ(find("a")->max_flows, 2u);
	EXPECT_EQ(find("c")->state, JJ__ROW_STATE__STATE_IN);
	tbl_raise_revision(&table, 9);
	tbl_raise_revision(&table, 5);
	EXPECT_EQ(table.revision, 9u);
}

TEST_F(rows_by_source, AListAfterAGapRemovesMissingSources)
{
	const char *const left[] = { "config" };

	ASSERT_EQ(replace("config", { service("a", 1) }, 5), JJ_OK);
	ASSERT_EQ(replace("extra", { service("b", 1) }, 6), JJ_OK);
	ASSERT_EQ(replace("newer", { service("c", 1) }, 20), JJ_OK);
	tbl_retain_sources(&table, left, 1, 10, 0, &update);
	EXPECT_EQ(update.changed, 1u);
	EXPECT_EQ(find("a")->state, JJ__ROW_STATE__STATE_IN);
	EXPECT_EQ(find("b")->state, JJ__ROW_STATE__STATE_REMOVED);
	/* learned from a peer after the list was made */
	EXPECT_EQ(find("c")->state, JJ__ROW_STATE__STATE_IN);
}

TEST_F(rows_by_source, AnInvalidRowChangesNothing)
{
	tbl_row bad = service("b", 1);

	bad.weight = TBL_WEIGHT_MAX + 1;
	EXPECT_EQ(replace("config", { service("a", 1), bad }, 5), JJ_INVALID);
	EXPECT_EQ(find("a"), nullptr);
}
