/*
 * settings - reads INI files and validates them against the schema
 *
 * proto/settings.proto defines all settings and their defaults: each section
 * is a sub-message and each key a field of it. The type and range of every
 * value are checked. Unknown sections, unknown keys, duplicate keys and
 * missing required keys are errors. Error messages contain the file name, the
 * line if there is one, and the reason.
 */
#ifndef JUJUBE_SETTINGS_H
#define JUJUBE_SETTINGS_H

#include "jujube/status.h"
#include "settings.pb-c.h"

/*
 * Parses the file at path into a new message of the given type. On success the
 * caller frees it with set_free(); on failure *out is null.
 */
enum jj_status set_load(const char *path,
			const ProtobufCMessageDescriptor *type,
			ProtobufCMessage **out, struct jj_error *err);

/* Like set_load(), from text; name replaces the file name in errors. */
enum jj_status set_parse(const char *text, const char *name,
			 const ProtobufCMessageDescriptor *type,
			 ProtobufCMessage **out, struct jj_error *err);

void set_free(ProtobufCMessage *settings);

/* Checks that every field of type has a validation rule. For tests. */
enum jj_status set_check_schema(const ProtobufCMessageDescriptor *type,
				struct jj_error *err);

#endif
