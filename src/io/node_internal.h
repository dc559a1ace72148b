/*
 * node_internal - parts of the node shared by its source files
 *
 * node.c           members, table, view, control thread, dump
 * node_transfer.c  state transfer over TCP: client and server
 */
#ifndef NODE_INTERNAL_H
#define NODE_INTERNAL_H

#include "node.h"

/* nod_merge_table() with the lock held. */
enum jj_status nod_merge_table_locked(struct nod *nod, const Jj__Table *table,
				      struct jj_error *err);

/* Thread functions; arg is the struct nod. */
void *nod_run_pull(void *arg);
void *nod_run_transfer(void *arg);

#endif
