#include "jujube/status.h"

#include <stdarg.h>
#include <stdio.h>

enum jj_status st_fail(struct jj_error *err, enum jj_status status,
		       const char *fmt, ...)
{
	va_list args;

	if (!err)
		return status;
	err->status = status;
	va_start(args, fmt);
	vsnprintf(err->message, sizeof(err->message), fmt, args);
	va_end(args);
	return status;
}

const char *st_name(enum jj_status status)
{
	static const char *const names[] = {
		"ok",		"invalid",     "malformed", "unauthenticated",
		"replayed",	"full",	       "not found", "conflict",
		"stale",	"unavailable", "unsettled", "incomplete",
		"system error",
	};

	if ((size_t)status >= sizeof(names) / sizeof(names[0]))
		return "unknown";
	return names[status];
}
