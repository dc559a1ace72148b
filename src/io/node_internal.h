/*
 * node_internal - parts of the node shared by its source files
 *
 * node.c           members, table, view, control thread, dump
 * node_transfer.c  state transfer on TCP: asking and answering
 */
#ifndef NODE_INTERNAL_H
#define NODE_INTERNAL_H

#include "node.h"

/* Takes a table over; the node must be locked. */
enum jj_status nod_merge_table_locked(struct nod *nod, const Jj__Table *table,
				      struct jj_error *err);

/* Threads; arg is the struct nod. */
void *nod_run_pull(void *arg);
void *nod_run_transfer(void *arg);

#endif
