#include "jujube/health.h"

#include <string.h>

static int is_word_byte(uint8_t byte)
{
	return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
	       (byte >= '0' && byte <= '9') || byte == '-' || byte == '_' ||
	       byte == '.';
}

static int equals(const uint8_t *word, size_t len, const char *text)
{
	return len == strlen(text) && !memcmp(word, text, len);
}

static void parse_word(struct hlt_report *report, const uint8_t *word,
		       size_t len)
{
	if (equals(word, len, "cold"))
		report->cold = 1;
	else if (equals(word, len, "draining"))
		report->draining = 1;
	else if (!equals(word, len, "ok"))
		return;
	report->has_state = 1;
}

/* Position after the word that begins at from. */
static size_t word_end(const uint8_t *body, size_t len, size_t from)
{
	while (from < len && is_word_byte(body[from]))
		from++;
	return from;
}

struct hlt_report hlt_parse(const uint8_t *body, size_t len,
			    const char *service)
{
	struct hlt_report report = { 0 };
	size_t at = 0;

	while (at < len) {
		size_t end = word_end(body, len, at);
		size_t value = end + 1;
		int named = end < len && body[end] == '=';

		if (named && equals(body + at, end - at, "service")) {
			end = word_end(body, len, value);
			report.other_service =
				!equals(body + value, end - value, service);
		} else if (named && equals(body + at, end - at, "target")) {
			end = word_end(body, len, value);
		} else {
			parse_word(&report, body + at, end - at);
		}
		at = end + 1;
	}
	return report;
}
