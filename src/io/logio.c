#include "logio.h"

#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include "net.h"

static enum log_level parse_level(const char *name)
{
	if (!strcmp(name, "error"))
		return LOG_ERR_;
	if (!strcmp(name, "warning"))
		return LOG_WARN_;
	if (!strcmp(name, "debug"))
		return LOG_DEBUG_;
	return LOG_INFO_;
}

/* Whether the rate limit admits a line; *not_written: lines lost before it. */
static int check_rate(struct lio *lio, int event, uint32_t *not_written)
{
	uint32_t burst = lio->form == LIO_FIELDS ? LIO_FIELDS_BURST : LIO_BURST;
	uint64_t second = net_now_ms() / 1000;

	*not_written = 0;
	if (event < 0 || event >= LIO_EVENTS)
		return 1;
	if (lio->window_s[event] != second) {
		lio->window_s[event] = second;
		lio->count[event] = 0;
	}
	if (lio->count[event]++ >= burst) {
		lio->suppressed[event]++;
		return 0;
	}
	*not_written = lio->suppressed[event];
	lio->suppressed[event] = 0;
	return 1;
}

/* 0: the line would have blocked or was cut short. */
static int write_nonblocking(int fd, const char *text, int len)
{
	struct pollfd pfd = { .fd = fd, .events = POLLOUT };

	return poll(&pfd, 1, 0) == 1 && pfd.revents & POLLOUT &&
	       write(fd, text, (size_t)len) == len;
}

/* line is "JJnnn <what happened>: <fields>". */
static int format_fields(const struct lio *lio, enum log_event event,
			 enum log_level level, const char *line,
			 uint32_t not_written, char *buf, size_t size)
{
	const char *what = log_text((int)event);
	const char *fields = strstr(line, what);

	fields = fields ? fields + strlen(what) + 2 : line;
	return snprintf(buf, size,
			"time_ms=%llu level=%d program=%s pid=%d event=JJ%d "
			"what=\"%s\" not_written=%u %s\n",
			(unsigned long long)net_wall_ms(), level, lio->program,
			getpid(), (int)event, what, not_written, fields);
}

static int format_syslog(const struct lio *lio, enum log_level level,
			 const char *line, uint32_t not_written, char *buf,
			 size_t size)
{
	if (not_written)
		return snprintf(buf, size,
				"<%d>%s[%d]: %s (%u more suppressed)\n", level,
				lio->program, getpid(), line, not_written);
	return snprintf(buf, size, "<%d>%s[%d]: %s\n", level, lio->program,
			getpid(), line);
}

static void write_line(void *ctx, enum log_event event, enum log_level level,
		       const char *line)
{
	struct lio *lio = ctx;
	char buf[1024];
	uint32_t not_written;
	int len;

	if ((int)level > lio->level)
		return;
	pthread_mutex_lock(&lio->lock);
	if (check_rate(lio, (int)event, &not_written)) {
		len = lio->form == LIO_FIELDS ?
			      format_fields(lio, event, level, line,
					    not_written, buf, sizeof(buf)) :
			      format_syslog(lio, level, line, not_written, buf,
					    sizeof(buf));
		if (len >= (int)sizeof(buf))
			len = (int)sizeof(buf) - 1;
		if (!write_nonblocking(lio->form == LIO_FIELDS ? STDOUT_FILENO :
								 STDERR_FILENO,
				       buf, len))
			lio->suppressed[event] += not_written + 1;
	}
	pthread_mutex_unlock(&lio->lock);
}

void lio_init(struct lio *lio, const char *program, const char *level,
	      enum lio_form form)
{
	memset(lio, 0, sizeof(*lio));
	pthread_mutex_init(&lio->lock, NULL);
	lio->program = program;
	lio->form = form;
	lio->level = parse_level(level);
	lio->sink.write = write_line;
	lio->sink.ctx = lio;
}

void lio_set_level(struct lio *lio, const char *level)
{
	lio->level = parse_level(level);
}
