/* The table, its CSV, and changes carried through against a platform. */
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

struct table {
	struct tbl tbl;

	table()
	{
		EXPECT_TRUE(tbl_init(&tbl, 32));
	}
	~table()
	{
		tbl_finish(&tbl);
	}
	table(const table &) = delete;

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
	table t;
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

TEST(Table, BadCsvIsRefusedWithLineAndReason)
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

TEST(Table, BadRowsAreRefusedAndChangeNothing)
{
	table t;

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

TEST(Table, UntouchedLinesOfAFileAreNoEdits)
{
	table t;
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
	/* one cell edited, while somebody else changes the other row */
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

/* Rows may arrive in any order, any number of times. */
RC_GTEST_PROP(Table, MergeInAnyOrderGivesTheSameTable,
	      (std::vector<uint8_t> changes, std::vector<uint8_t> arrivals))
{
	table source;
	table sink;
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
	for (uint8_t at : arrivals) {
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

TEST(Table, OlderTableIsRefused)
{
	table t;

	ASSERT_EQ(t.set("a", IN, 0, "1"), JJ_OK);
	std::string older = t.packed();
	ASSERT_EQ(t.set("a", OUT, 1, "2"), JJ_OK);
	EXPECT_EQ(t.merge(older), JJ_STALE);
	EXPECT_EQ(t.state("a"), OUT);
	EXPECT_EQ(t.tbl.revision, 2u);
}

/* -- changes against a platform that fails ------------------------------- */

/*
 * Several operators' changes run at once, step by step in a drawn order,
 * against a cell whose answers fail in drawn ways: a read fails or shows an
 * older value; a swap takes effect and its answer is lost, or never takes
 * effect and no answer comes, or takes effect much later.
 */
struct operator_change {
	tbl_edit edit;
	tbl_edits edits;
	struct edt edt;
	table work;
	table known;
	std::string name;
};

static std::string cell_value(const naive::cell &cell)
{
	return cell.value.value_or("");
}

static void step(operator_change &op, naive::cell &cell,
		 std::deque<naive::cell> &past,
		 std::vector<std::pair<uint64_t, std::string>> &late,
		 uint8_t fault)
{
	if (op.edt.action == EDT_READ) {
		const naive::cell &seen =
			fault % 8 == 1 && !past.empty() ?
				past[fault / 8 % past.size()] :
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
	std::string bytes = op.work.packed();
	naive::cell before = cell;

	switch (fault % 8) {
	case 0: /* never takes effect, no answer */
		edt_on_swap(&op.edt, EDT_SWAP_UNKNOWN);
		return;
	case 1: /* takes effect, the answer is lost */
		if (cell.swap(op.edt.index, bytes))
			past.push_back(before);
		edt_on_swap(&op.edt, EDT_SWAP_UNKNOWN);
		return;
	case 2: /* may take effect much later */
		late.emplace_back(op.edt.index, bytes);
		edt_on_swap(&op.edt, EDT_SWAP_UNKNOWN);
		return;
	default:
		if (cell.swap(op.edt.index, bytes)) {
			past.push_back(before);
			edt_on_swap(&op.edt, EDT_SWAP_DONE);
		} else {
			edt_on_swap(&op.edt, EDT_SWAP_MISMATCH);
		}
	}
}

RC_GTEST_PROP(Edit, SettledWordsAreTrue,
	      (std::vector<std::pair<uint8_t, uint8_t>> steps))
{
	naive::cell cell;
	std::deque<naive::cell> past;
	std::vector<std::pair<uint64_t, std::string>> late;
	std::vector<std::unique_ptr<operator_change>> ops;
	table seed;

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
		edt_init(&op->edt, &op->edits, &op->work.tbl);
		ops.push_back(std::move(op));
	}
	auto flush_late = [&](size_t at) {
		naive::cell before = cell;

		if (cell.swap(late[at].first, late[at].second))
			past.push_back(before);
		late.erase(late.begin() + at);
	};
	for (auto &[who, fault] : steps) {
		operator_change &op = *ops[who % 3];

		if (!late.empty() && who % 5 == 4)
			flush_late(fault % late.size());
		if (op.edt.action != EDT_DONE)
			step(op, cell, past, late, fault);
	}
	/* afterwards the platform is well, and late writes come in first */
	for (int round = 0; round < 40; round++) {
		if (!late.empty())
			flush_late(0);
		for (auto &op : ops)
			if (op->edt.action != EDT_DONE)
				step(*op, cell, past, late, 7);
	}
	table final;
	final.merge(cell_value(cell));
	int accepted_on_a = 0;
	for (auto &op : ops) {
		bool in_force =
			tbl_find_change(&final.tbl, op->edits.id) != nullptr;

		RC_ASSERT(op->edt.action == EDT_DONE);
		RC_ASSERT((op->edt.outcome == EDT_ACCEPTED) == in_force);
		if (op->name == "a")
			accepted_on_a += in_force;
	}
	RC_ASSERT(accepted_on_a == 1);
	RC_ASSERT(ops[2]->edt.outcome == EDT_ACCEPTED);
}

TEST(Edit, RestoredPlatformGetsItsRowsBack)
{
	table held, work;
	struct edt edt;

	ASSERT_EQ(held.set("a", IN, 0, "1"), JJ_OK);
	std::string old = held.packed();
	ASSERT_EQ(held.set("a", OUT, 1, "2"), JJ_OK);
	edt_init(&edt, nullptr, &work.tbl);
	Jj__Table *msg = jj__table__unpack(nullptr, old.size(),
					   (const uint8_t *)old.data());
	edt_on_read(&edt, EDT_READ_VALUE, 11, msg, &held.tbl);
	jj__table__free_unpacked(msg, nullptr);
	ASSERT_EQ(edt.action, EDT_SWAP);
	EXPECT_EQ(edt.index, 11u);
	EXPECT_EQ(work.state("a"), OUT);
	EXPECT_GT(work.tbl.revision, held.tbl.revision);
	edt_on_swap(&edt, EDT_SWAP_DONE);
	EXPECT_EQ(edt.outcome, EDT_ACCEPTED);
}

/*
 * A swap without an answer is outstanding at index 10, and the row was changed
 * by somebody else on a platform that was then restored. The change has to be
 * turned down, yet the swap could still win: the index is moved first.
 */
struct outstanding : testing::Test {
	table before, other, work;
	tbl_edit edit = make_state_edit(CENTRE, "a", OUT, 1);
	tbl_edits edits = make_change(&edit, "mine", "eva");
	struct edt edt;

	void read(uint64_t index, table &known)
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
		edt_init(&edt, &edits, &work.tbl);
		read(10, before);
		ASSERT_EQ(edt.action, EDT_SWAP);
		edt_on_swap(&edt, EDT_SWAP_UNKNOWN);
		ASSERT_TRUE(edt_swap_outstanding(&edt));
	}
	void expect_index_is_moved_first()
	{
		ASSERT_EQ(edt.action, EDT_SWAP);
		EXPECT_EQ(tbl_find_change(&work.tbl, "mine"), nullptr);
		edt_on_swap(&edt, EDT_SWAP_DONE);
		EXPECT_EQ(edt.outcome, EDT_CONFLICT);
	}
};

TEST_F(outstanding, ConflictAtTheSameIndexIsNotSettledYet)
{
	read(10, other);
	expect_index_is_moved_first();
}

TEST_F(outstanding, AnOlderIndexProvesNothing)
{
	read(9, other);
	expect_index_is_moved_first();
}

TEST_F(outstanding, AHigherIndexProvesThatItIsVoid)
{
	read(11, other);
	EXPECT_EQ(edt.action, EDT_DONE);
	EXPECT_EQ(edt.outcome, EDT_CONFLICT);
}

/* -- rows by source ------------------------------------------------------ */

struct sourced : testing::Test {
	tbl table;
	uint32_t changed = 0;
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
		return tbl_replace_source(&table, source, rows.data(),
					  (uint32_t)rows.size(), revision,
					  &changed, &err);
	}
	const tbl_row *find(const char *name)
	{
		return tbl_find(&table, JJ__KIND__KIND_SERVICE, name);
	}
};

TEST_F(sourced, ReplacingChangesWhatDiffersAndRemovesTheRest)
{
	ASSERT_EQ(replace("config", { service("a", 1), service("b", 1) }, 5),
		  JJ_OK);
	EXPECT_EQ(changed, 2u);
	ASSERT_EQ(replace("config", { service("a", 1) }, 9), JJ_OK);
	EXPECT_EQ(changed, 1u);
	EXPECT_EQ(find("a")->revision, 5u);
	EXPECT_EQ(find("b")->state, JJ__ROW_STATE__STATE_REMOVED);
	EXPECT_EQ(find("b")->revision, 9u);
}

TEST_F(sourced, AnOlderAnswerOfTheStoreChangesNothing)
{
	ASSERT_EQ(replace("config", { service("a", 2), service("c", 2) }, 9),
		  JJ_OK);
	ASSERT_EQ(replace("config", { service("a", 1) }, 5), JJ_OK);
	EXPECT_EQ(changed, 0u);
	EXPECT_EQ(find("a")->max_flows, 2u);
	EXPECT_EQ(find("c")->state, JJ__ROW_STATE__STATE_IN);
	tbl_raise_revision(&table, 9);
	tbl_raise_revision(&table, 5);
	EXPECT_EQ(table.revision, 9u);
}

TEST_F(sourced, AListAfterAGapRemovesSourcesThatAreGone)
{
	const char *const left[] = { "config" };

	ASSERT_EQ(replace("config", { service("a", 1) }, 5), JJ_OK);
	ASSERT_EQ(replace("extra", { service("b", 1) }, 6), JJ_OK);
	ASSERT_EQ(replace("newer", { service("c", 1) }, 20), JJ_OK);
	EXPECT_EQ(tbl_retain_sources(&table, left, 1, 10), 1u);
	EXPECT_EQ(find("a")->state, JJ__ROW_STATE__STATE_IN);
	EXPECT_EQ(find("b")->state, JJ__ROW_STATE__STATE_REMOVED);
	/* Heard of from a peer after the list was made. */
	EXPECT_EQ(find("c")->state, JJ__ROW_STATE__STATE_IN);
}

TEST_F(sourced, ABadRowChangesNothing)
{
	tbl_row bad = service("b", 1);

	bad.weight = TBL_WEIGHT_MAX + 1;
	EXPECT_EQ(replace("config", { service("a", 1), bad }, 5), JJ_INVALID);
	EXPECT_EQ(find("a"), nullptr);
}
