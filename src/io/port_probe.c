#include "port_probe.h"

#include <errno.h>
#include <unistd.h>
#include "net.h"

void ppr_init(struct ppr *probe, uint32_t ip, uint16_t port, int limited)
{
	*probe = (struct ppr){
		.ip = ip, .port = port, .limited = (uint8_t)limited, .fd = -1
	};
}

void ppr_finish(struct ppr *probe)
{
	if (probe->fd >= 0)
		close(probe->fd);
	probe->fd = -1;
	probe->running = 0;
}

void ppr_begin(struct ppr *probe, uint64_t now)
{
	ppr_finish(probe);
	probe->running = 1;
	probe->began_ms = now;
	probe->fd = net_connect_begin(probe->ip, probe->port);
	probe->error = probe->fd < 0 ? errno : EINPROGRESS;
}

enum ppr_result ppr_result(struct ppr *probe, uint64_t now)
{
	int expired = probe->limited && now > probe->began_ms + PPR_TIMEOUT_MS;

	if (probe->error == EINPROGRESS)
		probe->error = net_connect_result(probe->fd);
	if (probe->error == EINPROGRESS && !expired)
		return PPR_PENDING;
	ppr_finish(probe);
	return !probe->error		    ? PPR_ACCEPTED :
	       probe->error == ECONNREFUSED ? PPR_REFUSED :
					      PPR_UNKNOWN;
}
