#include "jujube/log.h"

#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

struct event_info {
	int number;
	enum log_level level;
	const char *text;
};

static const struct event_info event_table[] = {
#define X(number, level, name, text) { number, level, text },
	LOG_EVENTS(X)
#undef X
};

static const struct event_info *find(int number)
{
	size_t i;

	for (i = 0; i < sizeof(event_table) / sizeof(event_table[0]); i++)
		if (event_table[i].number == number)
			return &event_table[i];
	return NULL;
}

const char *log_text(int number)
{
	const struct event_info *info = find(number);

	return info ? info->text : NULL;
}

void log_put(const struct log_sink *sink, enum log_event event, const char *fmt,
	     ...)
{
	const struct event_info *info = find(event);
	char line[512];
	va_list args;
	int used;

	if (!sink || !sink->write || !info)
		return;
	used = snprintf(line, sizeof(line), "JJ%d %s: ", info->number,
			info->text);
	va_start(args, fmt);
	vsnprintf(line + used, sizeof(line) - (size_t)used, fmt, args);
	va_end(args);
	sink->write(sink->ctx, event, info->level, line);
}
