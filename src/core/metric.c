#include "jujube/metric.h"

const char *met_counter_name(enum met_counter counter)
{
	static const char *const names[] = {
#define X(id, name, text) name,
		MET_COUNTERS(X)
#undef X
	};

	return (unsigned)counter < MET_COUNT ? names[counter] : "?";
}

const char *met_time_name(enum met_time time)
{
	static const char *const names[] = {
#define X(id, name, text) name,
		MET_TIMES(X)
#undef X
	};

	return (unsigned)time < MET_TIME_COUNT ? names[time] : 0;
}
