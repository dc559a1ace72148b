/* Converts the table to and from CSV, with libcsv. */
#include "jujube/table.h"

#include <csv.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "jujube/rank.h"

static const char *const columns[] = {
	"kind",	 "name",      "service",    "address", "weight",
	"slots", "max_flows", "cold_slots", "state",   "version",
	"who",	 "when",      "why",
};
#define COLUMNS (sizeof(columns) / sizeof(columns[0]))

static const char *const kinds[] = { "", "service", "data-centre", "target",
				     "route" };
static const char *const states[] = { "in", "draining", "out", "removed" };

/* -- names --------------------------------------------------------------- */

const char *tbl_kind_name(Jj__Kind kind)
{
	return (unsigned)kind < 4 ? kinds[kind] : "?";
}

const char *tbl_state_name(Jj__RowState state)
{
	return (unsigned)state < 4 ? states[state] : "?";
}

enum jj_status tbl_parse_kind(const char *text, Jj__Kind *kind)
{
	int i;

	for (i = 1; i < 4; i++) {
		if (!strcmp(text, kinds[i])) {
			*kind = (Jj__Kind)i;
			return JJ_OK;
		}
	}
	return JJ_INVALID;
}

enum jj_status tbl_parse_state(const char *text, Jj__RowState *state)
{
	int i;

	for (i = 0; i < 4; i++) {
		if (!strcmp(text, states[i])) {
			*state = (Jj__RowState)i;
			return JJ_OK;
		}
	}
	return JJ_INVALID;
}

/* -- fields -------------------------------------------------------------- */

static enum jj_status set_number(uint32_t *out, const char *column,
				 const char *text, struct jj_error *err)
{
	char *end;
	unsigned long value = strtoul(text, &end, 10);

	if (!*text || *end || *text == '-' || value > UINT32_MAX)
		return st_fail(err, JJ_INVALID, "%s: '%.40s' is not a number",
			       column, text);
	*out = (uint32_t)value;
	return JJ_OK;
}

static enum jj_status set_text(char *out, size_t size, const char *column,
			       const char *text, struct jj_error *err)
{
	if (strlen(text) >= size)
		return st_fail(err, JJ_INVALID,
			       "%s: longer than %zu characters", column,
			       size - 1);
	snprintf(out, size, "%s", text);
	return JJ_OK;
}

enum jj_status tbl_edit_set(struct tbl_edit *edit, const char *column,
			    const char *text, struct jj_error *err)
{
	struct tbl_row *row = &edit->row;

	if (!strcmp(column, "service")) {
		edit->fields |= TBL_SERVICE;
		return set_text(row->service, sizeof(row->service), column,
				text, err);
	}
	if (!strcmp(column, "address")) {
		edit->fields |= TBL_ADDRESS;
		return set_text(row->address, sizeof(row->address), column,
				text, err);
	}
	if (!strcmp(column, "weight")) {
		edit->fields |= TBL_WEIGHT;
		return set_number(&row->weight, column, text, err);
	}
	if (!strcmp(column, "slots")) {
		edit->fields |= TBL_SLOTS;
		return set_number(&row->slots, column, text, err);
	}
	if (!strcmp(column, "max_flows")) {
		edit->fields |= TBL_MAX_FLOWS;
		return set_number(&row->max_flows, column, text, err);
	}
	if (!strcmp(column, "cold_slots")) {
		edit->fields |= TBL_COLD_SLOTS;
		return set_number(&row->cold_slots, column, text, err);
	}
	if (!strcmp(column, "state")) {
		edit->fields |= TBL_STATE;
		if (tbl_parse_state(text, &row->state) == JJ_OK)
			return JJ_OK;
		return st_fail(err, JJ_INVALID,
			       "state: '%.40s' is not in, draining, out or "
			       "removed",
			       text);
	}
	return st_fail(err, JJ_INVALID, "unknown column '%.40s'", column);
}

/* Hash of the columns that an operator can edit, including kind and name. */
static uint32_t content_hash(const struct tbl_row *row)
{
	char text[512];
	int len = snprintf(text, sizeof(text),
			   "%d\x1f%s\x1f%s\x1f%s\x1f%u\x1f%u\x1f%u\x1f%u\x1f%d",
			   row->kind, row->name, row->service, row->address,
			   row->weight, row->slots, row->max_flows,
			   row->cold_slots, row->state);

	return (uint32_t)rnk_hash(text, (size_t)len);
}

/* -- writing ------------------------------------------------------------- */

static void put_field(FILE *out, const char *text, char after)
{
	csv_fwrite(out, text, strlen(text));
	fputc(after, out);
}

static void put_number(FILE *out, uint64_t value)
{
	fprintf(out, "%llu,", (unsigned long long)value);
}

/* "revision-hash": the hash shows whether the line was edited. */
static void put_version(FILE *out, const struct tbl_row *row)
{
	fprintf(out, "%llu-%08x,", (unsigned long long)row->revision,
		content_hash(row));
}

static void put_row(FILE *out, const struct tbl_row *row)
{
	put_field(out, tbl_kind_name(row->kind), ',');
	put_field(out, row->name, ',');
	put_field(out, row->service, ',');
	put_field(out, row->address, ',');
	put_number(out, row->weight);
	put_number(out, row->slots);
	put_number(out, row->max_flows);
	put_number(out, row->cold_slots);
	put_field(out, tbl_state_name(row->state), ',');
	put_version(out, row);
	put_field(out, row->who, ',');
	put_number(out, row->when);
	put_field(out, row->why, '\n');
}

char *tbl_to_csv(const struct tbl *tbl)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	uint32_t i;

	if (!out)
		return NULL;
	for (i = 0; i < COLUMNS; i++)
		fprintf(out, "%s%c", columns[i], i + 1 < COLUMNS ? ',' : '\n');
	for (i = 0; i < tbl->count; i++)
		if (tbl->rows[i].state != JJ__ROW_STATE__STATE_REMOVED)
			put_row(out, &tbl->rows[i]);
	fclose(out);
	return text;
}

/* -- reading ------------------------------------------------------------- */

struct csv_reader {
	struct tbl_edits *edits;
	struct tbl_edit edit;
	int column_map[COLUMNS]; /* file column -> position in columns */
	int column_count;
	int column;
	int line;
	uint32_t hash; /* of the line when it was exported */
	int has_hash;
	uint32_t capacity;
	enum jj_status status;
	struct jj_error error;
};

static void set_error(struct csv_reader *r, const char *what, const char *text)
{
	if (r->status != JJ_OK)
		return;
	r->status = st_fail(&r->error, JJ_INVALID, "line %d: %s '%.60s'",
			    r->line, what, text);
}

static void header_field(struct csv_reader *r, const char *text)
{
	int i;

	if (r->column >= (int)COLUMNS) {
		set_error(r, "too many columns in the header at", text);
		return;
	}
	for (i = 0; i < (int)COLUMNS; i++) {
		if (!strcmp(text, columns[i])) {
			r->column_map[r->column] = i;
			return;
		}
	}
	set_error(r, "unknown column", text);
}

static void version_field(struct csv_reader *r, const char *text)
{
	char *end;

	if (!*text)
		return; /* a new row */
	r->edit.base_revision = strtoull(text, &end, 10);
	if (*end != '-') {
		set_error(r, "bad version", text);
		return;
	}
	r->hash = (uint32_t)strtoul(end + 1, &end, 16);
	r->has_hash = 1;
	if (*end)
		set_error(r, "bad version", text);
}

static void row_field(struct csv_reader *r, const char *text)
{
	const char *column;
	struct jj_error reason;

	if (r->column >= r->column_count) {
		set_error(r, "row has more fields than the header at", text);
		return;
	}
	column = columns[r->column_map[r->column]];
	if (!strcmp(column, "kind")) {
		if (tbl_parse_kind(text, &r->edit.row.kind) != JJ_OK)
			set_error(r, "unknown kind", text);
	} else if (!strcmp(column, "name")) {
		if (strlen(text) >= TBL_NAME_MAX)
			set_error(r, "name too long", text);
		snprintf(r->edit.row.name, sizeof(r->edit.row.name), "%s",
			 text);
	} else if (!strcmp(column, "version")) {
		version_field(r, text);
	} else if (!strcmp(column, "who") || !strcmp(column, "when") ||
		   !strcmp(column, "why")) {
		return; /* metadata of the last change, not editable */
	} else if (*text &&
		   tbl_edit_set(&r->edit, column, text, &reason) != JJ_OK) {
		set_error(r, reason.message, text);
	}
}

static void on_field(void *data, size_t len, void *ctx)
{
	struct csv_reader *r = ctx;
	char text[512];

	if (r->status != JJ_OK)
		return; /* report only the first error */
	if (len >= sizeof(text) || memchr(data, '\0', len)) {
		set_error(r, "field too long or not text", "");
		return;
	}
	if (len)
		memcpy(text, data, len);
	text[len] = '\0';
	if (r->line == 1)
		header_field(r, text);
	else
		row_field(r, text);
	r->column++;
}

static void append_edit(struct csv_reader *r)
{
	struct tbl_edits *edits = r->edits;

	if (edits->count == r->capacity) {
		uint32_t capacity = r->capacity ? r->capacity * 2 : 64;
		struct tbl_edit *items =
			realloc(edits->items, capacity * sizeof(*items));

		if (!items) {
			set_error(r, "out of memory", "");
			return;
		}
		edits->items = items;
		r->capacity = capacity;
	}
	edits->items[edits->count++] = r->edit;
}

static void on_line(int end, void *ctx)
{
	struct csv_reader *r = ctx;

	(void)end;
	if (r->line == 1) {
		r->column_count = r->column;
	} else if (r->column) {
		if (r->column != r->column_count)
			set_error(r, "wrong number of fields in row",
				  r->edit.row.name);
		if (!r->edit.row.kind || !*r->edit.row.name)
			set_error(r, "row without kind or name",
				  r->edit.row.name);
		if (!r->has_hash || content_hash(&r->edit.row) != r->hash)
			append_edit(r);
	}
	r->has_hash = 0;
	memset(&r->edit, 0, sizeof(r->edit));
	r->column = 0;
	r->line++;
}

enum jj_status tbl_edits_from_csv(const char *text, size_t len,
				  struct tbl_edits *edits, struct jj_error *err)
{
	struct csv_reader r = { .edits = edits, .line = 1 };
	struct csv_parser parser;

	edits->items = NULL;
	edits->count = 0;
	if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_EMPTY_IS_NULL))
		return st_fail(err, JJ_SYSTEM, "out of memory");
	if (csv_parse(&parser, text, len, on_field, on_line, &r) != len ||
	    csv_fini(&parser, on_field, on_line, &r))
		set_error(&r, csv_strerror(csv_error(&parser)), "");
	csv_free(&parser);
	if (r.status == JJ_OK && r.line < 2)
		set_error(&r, "no header line", "");
	if (r.status == JJ_OK)
		return JJ_OK;
	free(edits->items);
	edits->items = NULL;
	edits->count = 0;
	return st_fail(err, JJ_INVALID, "%s", r.error.message);
}
