#include "jujube/settings.h"

#include <arpa/inet.h>
#include <ini.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "jujube/frame.h"
#include "jujube/table.h"

/* -- validation rules ---------------------------------------------------- */

enum value_type {
	VALUE_NUMBER, /* from min to max */
	VALUE_NAME, /* letters, digits, '-', '_', '.' */
	VALUE_IP, /* IPv4 address */
	VALUE_ADDRESS, /* ip:port */
	VALUE_ADDRESSES, /* comma-separated list of ip:port, may be empty */
	VALUE_KEY, /* 32 hexadecimal digits */
	VALUE_LEVEL, /* log level */
	VALUE_TEXT, /* of min to max characters */
};

struct rule {
	const char *section;
	const char *key;
	enum value_type value_type;
	uint32_t min;
	uint32_t max;
};

static const struct rule rules[] = {
	{ "identity", "name", VALUE_NAME, 0, 0 },
	{ "identity", "data_centre", VALUE_NAME, 0, 0 },
	{ "identity", "ip", VALUE_IP, 0, 0 },
	{ "identity", "control_port", VALUE_NUMBER, 1, 65535 },
	{ "identity", "data_port", VALUE_NUMBER, 1, 65535 },
	{ "fleet", "key", VALUE_KEY, 0, 0 },
	{ "fleet", "seeds", VALUE_ADDRESSES, 0, 0 },
	{ "fleet", "probe_ms", VALUE_NUMBER, 50, 10000 },
	{ "fleet", "suspect_ms", VALUE_NUMBER, 100, 60000 },
	{ "fleet", "gossip_ms", VALUE_NUMBER, 20, 10000 },
	{ "fleet", "members_max", VALUE_NUMBER, 64, 1000000 },
	{ "fleet", "rows_max", VALUE_NUMBER, 64, 1000000 },
	{ "fleet", "lanes_max", VALUE_NUMBER, 1024, 1000000 },
	{ "platform", "url", VALUE_TEXT, 8, 200 },
	{ "platform", "table_key", VALUE_TEXT, 1, 200 },
	{ "platform", "timeout_ms", VALUE_NUMBER, 50, 60000 },
	{ "platform", "watch_s", VALUE_NUMBER, 1, 600 },
	{ "forward", "threads", VALUE_NUMBER, 1, 64 },
	{ "forward", "max_flows", VALUE_NUMBER, 1000, 16000000 },
	{ "forward", "flow_idle_s", VALUE_NUMBER, 1, 3600 },
	{ "forward", "max_queue_age_ms", VALUE_NUMBER, 50, 60000 },
	{ "forward", "drain_s", VALUE_NUMBER, 0, 600 },
	{ "admin", "ip", VALUE_IP, 0, 0 },
	{ "admin", "port", VALUE_NUMBER, 1, 65535 },
	{ "admin", "token", VALUE_TEXT, 8, 200 },
	{ "target", "service", VALUE_NAME, 0, 0 },
	{ "target", "name", VALUE_NAME, 0, 0 },
	{ "target", "address", VALUE_ADDRESS, 0, 0 },
	{ "target", "slots", VALUE_NUMBER, 1, 4096 },
	{ "target", "cold_slots", VALUE_NUMBER, 1, 4096 },
	{ "target", "max_flows", VALUE_NUMBER, 1, 100000 },
	{ "target", "queue", VALUE_NUMBER, 0, 1024 },
	{ "target", "deadline_ms", VALUE_NUMBER, 50, 120000 },
	{ "target", "flow_idle_s", VALUE_NUMBER, 1, 86400 },
	{ "target", "feed_idle_s", VALUE_NUMBER, 1, 604800 },
	{ "target", "threads", VALUE_NUMBER, 1, 16 },
	{ "target", "ledger", VALUE_NUMBER, 64, 4000000 },
	{ "target", "drain_s", VALUE_NUMBER, 0, 3600 },
	{ "target", "health_ms", VALUE_NUMBER, 50, 60000 },
	{ "ingress", "address", VALUE_ADDRESS, 0, 0 },
	{ "ingress", "ready", VALUE_ADDRESS, 0, 0 },
	{ "ingress", "callers", VALUE_ADDRESS, 0, 0 },
	{ "ingress", "threads", VALUE_NUMBER, 1, 64 },
	{ "ingress", "flow_idle_s", VALUE_NUMBER, 1, 604800 },
	{ "ingress", "max_flows", VALUE_NUMBER, 1000, 16000000 },
	{ "ingress", "drain_ms", VALUE_NUMBER, 0, 600000 },
	{ "egress", "service", VALUE_NAME, 0, 0 },
	{ "egress", "target", VALUE_ADDRESS, 0, 0 },
	{ "egress", "threads", VALUE_NUMBER, 1, 16 },
	{ "egress", "max_flows", VALUE_NUMBER, 1, 1000000 },
	{ "egress", "queue", VALUE_NUMBER, 0, 1024 },
	{ "egress", "address", VALUE_ADDRESS, 0, 0 },
	{ "egress", "ready", VALUE_ADDRESS, 0, 0 },
	{ "egress", "heartbeats", VALUE_ADDRESS, 0, 0 },
	{ "egress", "callers", VALUE_ADDRESS, 0, 0 },
	{ "egress", "heartbeat_ms", VALUE_NUMBER, 50, 60000 },
	{ "egress", "flow_ttl_s", VALUE_NUMBER, 1, 604800 },
	{ "egress", "drain_ms", VALUE_NUMBER, 0, 600000 },
	{ "egress", "wait_queue", VALUE_NUMBER, 0, 4096 },
	{ "egress", "wait_max_ms", VALUE_NUMBER, 50, 60000 },
	{ "egress", "urgent_places", VALUE_NUMBER, 0, 64 },
	{ "egress", "probe_silence_ms", VALUE_NUMBER, 0, 10000 },
	{ "egress", "spill", VALUE_NUMBER, 0, 1 },
	{ "egress", "crossing_ms", VALUE_NUMBER, 0, 1000 },
	{ "egress", "crossing_price_ms", VALUE_NUMBER, 0, 10000 },
	{ "registry", "address", VALUE_ADDRESS, 0, 0 },
	{ "registry", "lease_s", VALUE_NUMBER, 2, 600 },
	{ "registry", "watch_s", VALUE_NUMBER, 1, 30 },
	{ "registry", "timeout_ms", VALUE_NUMBER, 50, 60000 },
	{ "log", "level", VALUE_LEVEL, 0, 0 },
	{ "operator", "admin", VALUE_ADDRESSES, 0, 0 },
	{ "operator", "token", VALUE_TEXT, 8, 200 },
	{ "operator", "who", VALUE_NAME, 0, 0 },
	{ "operator", "timeout_s", VALUE_NUMBER, 1, 600 },
};

static const struct rule *find_rule(const char *section, const char *key)
{
	size_t i;

	for (i = 0; i < sizeof(rules) / sizeof(rules[0]); i++)
		if (!strcmp(rules[i].section, section) &&
		    !strcmp(rules[i].key, key))
			return &rules[i];
	return NULL;
}

enum jj_status set_check_schema(const ProtobufCMessageDescriptor *type,
				struct jj_error *err)
{
	unsigned i;
	unsigned j;

	for (i = 0; i < type->n_fields; i++) {
		const ProtobufCMessageDescriptor *section =
			type->fields[i].descriptor;

		for (j = 0; j < section->n_fields; j++)
			if (!find_rule(type->fields[i].name,
				       section->fields[j].name))
				return st_fail(err, JJ_INVALID,
					       "no rule for %s.%s",
					       type->fields[i].name,
					       section->fields[j].name);
	}
	return JJ_OK;
}

/* -- value checks -------------------------------------------------------- */

static enum jj_status check_name(const char *text, struct jj_error *err)
{
	struct tbl_row row = { .kind = JJ__KIND__KIND_TARGET };

	if (strlen(text) >= sizeof(row.name))
		return st_fail(err, JJ_INVALID, "longer than %zu characters",
			       sizeof(row.name) - 1);
	snprintf(row.name, sizeof(row.name), "%s", text);
	return tbl_check_row(&row, err);
}

static enum jj_status check_addresses(const char *text, struct jj_error *err)
{
	char copy[2048];
	char *rest = copy;
	char *item;

	if (strlen(text) >= sizeof(copy))
		return st_fail(err, JJ_INVALID, "address list is too long");
	snprintf(copy, sizeof(copy), "%s", text);
	while ((item = strsep(&rest, ","))) {
		uint32_t ip;
		uint16_t port;

		item += strspn(item, " ");
		if (!*item)
			continue;
		if (tbl_parse_address(item, &ip, &port, err) != JJ_OK)
			return JJ_INVALID;
	}
	return JJ_OK;
}

static enum jj_status check_level(const char *text, struct jj_error *err)
{
	static const char *const levels[] = { "error", "warning", "info",
					      "debug" };
	size_t i;

	for (i = 0; i < sizeof(levels) / sizeof(levels[0]); i++)
		if (!strcmp(text, levels[i]))
			return JJ_OK;
	return st_fail(err, JJ_INVALID,
		       "'%.20s' is not error, warning, info or debug", text);
}

static enum jj_status check_text(const struct rule *rule, const char *text,
				 struct jj_error *err)
{
	struct in_addr addr;
	struct frm_key key;
	uint32_t ip;
	uint16_t port;

	switch (rule->value_type) {
	case VALUE_NAME:
		return check_name(text, err);
	case VALUE_IP:
		if (inet_pton(AF_INET, text, &addr) == 1)
			return JJ_OK;
		return st_fail(err, JJ_INVALID,
			       "'%.40s' is not an IPv4 "
			       "address",
			       text);
	case VALUE_ADDRESS:
		return tbl_parse_address(text, &ip, &port, err);
	case VALUE_ADDRESSES:
		return check_addresses(text, err);
	case VALUE_KEY:
		return frm_key_parse(&key, text, err);
	case VALUE_LEVEL:
		return check_level(text, err);
	case VALUE_TEXT:
		if (strlen(text) >= rule->min && strlen(text) <= rule->max)
			return JJ_OK;
		return st_fail(err, JJ_INVALID, "must have %u to %u characters",
			       rule->min, rule->max);
	case VALUE_NUMBER:
		break;
	}
	return st_fail(err, JJ_INVALID,
		       "rule is for a number, but the field is text");
}

static enum jj_status parse_number(const struct rule *rule, const char *text,
				   uint32_t *out, struct jj_error *err)
{
	char *end;
	unsigned long value = strtoul(text, &end, 10);

	if (!*text || *end || *text == '-')
		return st_fail(err, JJ_INVALID, "'%.40s' is not a number",
			       text);
	if (value < rule->min || value > rule->max)
		return st_fail(err, JJ_INVALID,
			       "%.40s is not between %u and %u", text,
			       rule->min, rule->max);
	*out = (uint32_t)value;
	return JJ_OK;
}

/* -- parsing ------------------------------------------------------------- */

struct reader {
	ProtobufCMessage *settings;
	struct jj_error error;
	int failed;
};

static void *member_at(ProtobufCMessage *msg, unsigned offset)
{
	return (uint8_t *)msg + offset;
}

static ProtobufCMessage *new_message(const ProtobufCMessageDescriptor *type)
{
	ProtobufCMessage *msg = calloc(1, type->sizeof_message);

	if (msg)
		protobuf_c_message_init(type, msg);
	return msg;
}

/* Finds or allocates a section's message; null: unknown or out of memory. */
static ProtobufCMessage *find_or_add_section(ProtobufCMessage *settings,
					     const char *name)
{
	const ProtobufCFieldDescriptor *field =
		protobuf_c_message_descriptor_get_field_by_name(
			settings->descriptor, name);
	ProtobufCMessage **at;

	if (!field)
		return NULL;
	at = member_at(settings, field->offset);
	if (!*at)
		*at = new_message(field->descriptor);
	return *at;
}

static enum jj_status set_field(ProtobufCMessage *section,
				const ProtobufCFieldDescriptor *field,
				const struct rule *rule, const char *value,
				struct jj_error *err)
{
	enum jj_status status;

	if (field->type == PROTOBUF_C_TYPE_UINT32) {
		if (field->label == PROTOBUF_C_LABEL_OPTIONAL)
			*(protobuf_c_boolean *)member_at(
				section, field->quantifier_offset) = 1;
		return parse_number(rule, value,
				    member_at(section, field->offset), err);
	}
	status = check_text(rule, value, err);
	if (status == JJ_OK)
		*(char **)member_at(section, field->offset) = strdup(value);
	return status;
}

#define GIVEN_MAX 128 /* keys of a file that are recorded */

struct given_fields {
	const ProtobufCFieldDescriptor *fields[GIVEN_MAX];
	int count;
};

struct parse {
	struct reader reader;
	struct given_fields given_fields;
};

/* Records that a key is set; returns 0 if it was set before. */
static int mark_given(struct given_fields *given_fields,
		      const ProtobufCFieldDescriptor *field)
{
	int i;

	for (i = 0; i < given_fields->count; i++)
		if (given_fields->fields[i] == field)
			return 0;
	if (given_fields->count < GIVEN_MAX)
		given_fields->fields[given_fields->count++] = field;
	return 1;
}

static int on_value(void *ctx, const char *section_name, const char *key,
		    const char *value)
{
	struct parse *parse = ctx;
	struct reader *r = &parse->reader;
	const ProtobufCFieldDescriptor *field = NULL;
	const struct rule *rule = find_rule(section_name, key);
	ProtobufCMessage *section =
		find_or_add_section(r->settings, section_name);
	struct jj_error reason = { 0 };

	if (r->failed)
		return 0;
	if (section)
		field = protobuf_c_message_descriptor_get_field_by_name(
			section->descriptor, key);
	if (!section)
		st_fail(&r->error, JJ_INVALID, "unknown section [%.40s]",
			section_name);
	else if (!field || !rule)
		st_fail(&r->error, JJ_INVALID, "unknown key '%.40s' in [%s]",
			key, section_name);
	else if (!mark_given(&parse->given_fields, field))
		st_fail(&r->error, JJ_INVALID, "%s.%s is given twice",
			section_name, key);
	else if (set_field(section, field, rule, value, &reason) != JJ_OK)
		st_fail(&r->error, JJ_INVALID, "%s.%s: %.160s", section_name,
			key, reason.message);
	else
		return 1;
	r->failed = 1;
	return 0;
}

static enum jj_status check_required(struct parse *parse, struct jj_error *err)
{
	ProtobufCMessage *settings = parse->reader.settings;
	const ProtobufCMessageDescriptor *type = settings->descriptor;
	unsigned i;
	unsigned j;

	for (i = 0; i < type->n_fields; i++) {
		ProtobufCMessage **given =
			member_at(settings, type->fields[i].offset);
		int absent = !*given;
		ProtobufCMessage *section =
			find_or_add_section(settings, type->fields[i].name);

		if (!section)
			return st_fail(err, JJ_SYSTEM, "out of memory");
		if (absent &&
		    type->fields[i].label == PROTOBUF_C_LABEL_OPTIONAL)
			continue;
		for (j = 0; j < section->descriptor->n_fields; j++) {
			const ProtobufCFieldDescriptor *field =
				&section->descriptor->fields[j];

			if (field->label == PROTOBUF_C_LABEL_REQUIRED &&
			    mark_given(&parse->given_fields, field))
				return st_fail(
					err, JJ_INVALID, "[%s] must set '%s'",
					type->fields[i].name, field->name);
		}
	}
	return JJ_OK;
}

static enum jj_status finish_parse(struct parse *parse, int line,
				   const char *name, ProtobufCMessage **out,
				   struct jj_error *err)
{
	struct jj_error reason;

	*out = NULL;
	if (line == -1)
		st_fail(err, JJ_SYSTEM, "%s: cannot be read", name);
	else if (line == -2)
		st_fail(err, JJ_SYSTEM, "%s: out of memory", name);
	else if (line > 0)
		st_fail(err, JJ_INVALID, "%s:%d: %s", name, line,
			parse->reader.failed ? parse->reader.error.message :
					       "neither [section] nor "
					       "key = value");
	else if (check_required(parse, &reason) != JJ_OK)
		st_fail(err, JJ_INVALID, "%s: %s", name, reason.message);
	else {
		*out = parse->reader.settings;
		return JJ_OK;
	}
	set_free(parse->reader.settings);
	return line < 0 ? JJ_SYSTEM : JJ_INVALID;
}

enum jj_status set_load(const char *path,
			const ProtobufCMessageDescriptor *type,
			ProtobufCMessage **out, struct jj_error *err)
{
	struct parse parse = { .reader.settings = new_message(type) };
	int line;

	if (!parse.reader.settings)
		return st_fail(err, JJ_SYSTEM, "out of memory");
	line = ini_parse(path, on_value, &parse);
	return finish_parse(&parse, line, path, out, err);
}

enum jj_status set_parse(const char *text, const char *name,
			 const ProtobufCMessageDescriptor *type,
			 ProtobufCMessage **out, struct jj_error *err)
{
	struct parse parse = { .reader.settings = new_message(type) };
	int line;

	if (!parse.reader.settings)
		return st_fail(err, JJ_SYSTEM, "out of memory");
	line = ini_parse_string(text, on_value, &parse);
	return finish_parse(&parse, line, name, out, err);
}

void set_free(ProtobufCMessage *settings)
{
	if (settings)
		protobuf_c_message_free_unpacked(settings, NULL);
}
