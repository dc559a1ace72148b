#include "jujube/health.h"

#include <string.h>

#define SERVICE "service="

static int is_space(uint8_t byte)
{
	return byte == ' ' || byte == '\t' || byte == '\r' || byte == '\n';
}

static int equals(const uint8_t *word, size_t len, const char *text)
{
	return len == strlen(text) && !memcmp(word, text, len);
}

static void parse_word(struct hlt_report *report, const uint8_t *word,
		       size_t len, const char *service)
{
	size_t prefix = strlen(SERVICE);

	if (len >= prefix && !memcmp(word, SERVICE, prefix)) {
		report->other_service =
			!equals(word + prefix, len - prefix, service);
		return;
	}
	if (equals(word, len, "cold"))
		report->cold = 1;
	else if (equals(word, len, "draining"))
		report->draining = 1;
	else if (!equals(word, len, "ok"))
		return;
	report->has_state = 1;
}

struct hlt_report hlt_parse(const uint8_t *body, size_t len,
			    const char *service)
{
	struct hlt_report report = { 0 };
	size_t at = 0;

	while (at < len) {
		size_t begin;

		while (at < len && is_space(body[at]))
			at++;
		begin = at;
		while (at < len && !is_space(body[at]))
			at++;
		if (at > begin)
			parse_word(&report, body + begin, at - begin, service);
	}
	return report;
}
