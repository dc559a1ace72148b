/* Converts the table to and from CSV, with libcsv. */
#include "jujube/table.h"

#include <csv.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "jujube/rank.h"

static const char *const columns[] = {
	"kind",
	"name",
	"service",
	"address",
	"weight",
	"slots",
	"max_flows",
	"cold_slots",
	"state",
	"version",
	"who",
	"when",
	"why",
	/*
	 * Terms of routes. At the end, so that the positions of the others are
	 * those of exports without them.
	 */
	"target_latency_ms",
	"deadline_ms",
	"priority",
	"idempotent",
};
#define COLUMNS (sizeof(columns) / sizeof(columns[0]))

static const char *const kinds[] = { "", "service", "data-centre", "target",
				     "route" };
static const char *const states[] = { "in", "draining", "out", "removed" };
static const char *const idempotences[] = { "", "yes", "no" };
#define KINDS (int)(sizeof(kinds) / sizeof(kinds[0]))
#define STATES (int)(sizeof(states) / sizeof(states[0]))
#define IDEMPOTENCES (int)(sizeof(idempotences) / sizeof(idempotences[0]))
/* Name of routes in exports from before these could be imported. */
#define ROUTE_NAME_EARLIER "?"

/* -- names --------------------------------------------------------------- */

static const char *name_of(const char *const *names, int count, int value)
{
	return value >= 0 && value < count ? names[value] : "?";
}

/* -1: not found. */
static int find_name(const char *const *names, int count, const char *text)
{
	int i;

	for (i = 0; i < count; i++)
		if (!strcmp(text, names[i]))
			return i;
	return -1;
}

const char *tbl_kind_name(Jj__Kind kind)
{
	return name_of(kinds, KINDS, (int)kind);
}

const char *tbl_state_name(Jj__RowState state)
{
	return name_of(states, STATES, (int)state);
}

const char *tbl_idempotence_name(Jj__Idempotence idempotent)
{
	return name_of(idempotences, IDEMPOTENCES, (int)idempotent);
}

enum jj_status tbl_parse_kind(const char *text, Jj__Kind *kind)
{
	int at = find_name(kinds, KINDS, text);

	if (at < 1)
		return JJ_INVALID;
	*kind = (Jj__Kind)at;
	return JJ_OK;
}

enum jj_status tbl_parse_state(const char *text, Jj__RowState *state)
{
	int at = find_name(states, STATES, text);

	if (at < 0)
		return JJ_INVALID;
	*state = (Jj__RowState)at;
	return JJ_OK;
}

enum jj_status tbl_parse_idempotence(const char *text,
				     Jj__Idempotence *idempotent)
{
	int at = find_name(idempotences, IDEMPOTENCES, text);

	if (at < 0)
		return JJ_INVALID;
	*idempotent = (Jj__Idempotence)at;
	return JJ_OK;
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

/* A number from 0 to max; empty text is 0, which means not set. */
static enum jj_status set_term(uint32_t *out, uint32_t max, const char *column,
			       const char *text, struct jj_error *err)
{
	enum jj_status status;

	*out = 0;
	if (!*text)
		return JJ_OK;
	status = set_number(out, column, text, err);
	if (status == JJ_OK && *out > max)
		return st_fail(err, JJ_INVALID, "%s: over %u", column, max);
	return status;
}

static int is_term(const char *column)
{
	return !strcmp(column, "target_latency_ms") ||
	       !strcmp(column, "deadline_ms") || !strcmp(column, "priority") ||
	       !strcmp(column, "idempotent");
}

/* Sets the field of a term of a route. */
static enum jj_status set_route_term(struct tbl_edit *edit, const char *column,
				     const char *text, struct jj_error *err)
{
	struct tbl_row *row = &edit->row;

	if (!strcmp(column, "target_latency_ms")) {
		edit->fields |= TBL_TARGET_LATENCY;
		return set_term(&row->target_latency_ms, TBL_TERM_MS_MAX,
				column, text, err);
	}
	if (!strcmp(column, "deadline_ms")) {
		edit->fields |= TBL_DEADLINE;
		return set_term(&row->deadline_ms, TBL_TERM_MS_MAX, column,
				text, err);
	}
	if (!strcmp(column, "priority")) {
		edit->fields |= TBL_PRIORITY;
		return set_term(&row->priority, TBL_PRIORITY_MAX, column, text,
				err);
	}
	edit->fields |= TBL_IDEMPOTENT;
	if (tbl_parse_idempotence(text, &row->idempotent) == JJ_OK)
		return JJ_OK;
	return st_fail(err, JJ_INVALID,
		       "idempotent: '%.40s' is not yes, no or empty", text);
}

enum jj_status tbl_edit_set(struct tbl_edit *edit, const char *column,
			    const char *text, struct jj_error *err)
{
	struct tbl_row *row = &edit->row;

	if (is_term(column))
		return set_route_term(edit, column, text, err);
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

/*
 * Hash of the columns that an operator can edit, including kind and name. Terms
 * of routes are only included where they are set, so that rows without them
 * have the hash of exports from before these columns.
 */
static uint32_t content_hash(const struct tbl_row *row)
{
	char text[512];
	int len = snprintf(text, sizeof(text),
			   "%d\x1f%s\x1f%s\x1f%s\x1f%u\x1f%u\x1f%u\x1f%u\x1f%d",
			   row->kind, row->name, row->service, row->address,
			   row->weight, row->slots, row->max_flows,
			   row->cold_slots, row->state);

	if (row->target_latency_ms || row->deadline_ms || row->priority ||
	    row->idempotent)
		len += snprintf(text + len, sizeof(text) - (size_t)len,
				"\x1f%u\x1f%u\x1f%u\x1f%d",
				row->target_latency_ms, row->deadline_ms,
				row->priority, row->idempotent);
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

/* Empty if the term is not set. */
static void put_term(FILE *out, uint32_t value)
{
	if (value)
		put_number(out, value);
	else
		fputc(',', out);
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
	put_field(out, row->why, ',');
	put_term(out, row->target_latency_ms);
	put_term(out, row->deadline_ms);
	put_term(out, row->priority);
	put_field(out, tbl_idempotence_name(row->idempotent), '\n');
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
		if (!strcmp(text, ROUTE_NAME_EARLIER))
			r->edit.row.kind = JJ__KIND__KIND_ROUTE;
		else if (tbl_parse_kind(text, &r->edit.row.kind) != JJ_OK)
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
	} else if ((*text || is_term(column)) &&
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

static void check_line(struct csv_reader *r)
{
	struct jj_error reason;

	if (r->column != r->column_count)
		set_error(r, "wrong number of fields in row", r->edit.row.name);
	if (!r->edit.row.kind || !*r->edit.row.name)
		set_error(r, "row without kind or name", r->edit.row.name);
	if (tbl_check_terms(&r->edit.row, &reason) != JJ_OK)
		set_error(r, reason.message, tbl_kind_name(r->edit.row.kind));
}

static void on_line(int end, void *ctx)
{
	struct csv_reader *r = ctx;

	(void)end;
	if (r->line == 1) {
		r->column_count = r->column;
	} else if (r->column) {
		check_line(r);
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
