/* jujube_explain - the command `jujube explain` */
#ifndef JUJUBE_EXPLAIN_H
#define JUJUBE_EXPLAIN_H

/*
 * Asks a relay agent where it would place an opening, and prints the answer.
 * settings: path of the settings of a relay agent, with the fleet's key. args:
 * caller, service, and optionally the control address of another agent, each
 * ip:port. Returns 0: done, 1: no answer, 2: bad arguments or settings.
 */
int exp_run(const char *settings, char *const *args, int count);

#endif
