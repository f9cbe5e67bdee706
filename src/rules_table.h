/*
 * Tables of a rule set, filled in by the parser.
 */
#ifndef FESCUE_RULES_TABLE_H
#define FESCUE_RULES_TABLE_H

#include "fescue/rules.h"

#include <glib.h>

struct rules {
	GArray *services; /* struct service_rule */
	GArray *routes; /* struct route_rule */
	GArray *accounts; /* struct account_rule */
	GHashTable *accounts_by_key; /* digest -> index in accounts */
	struct limits_rule limits;
};

/* Create an empty rule set with default limits. */
struct rules *rules_create(void);

/* Sort the routes so that the first match of a call is the most specific. */
void rules_sort(struct rules *rules);

#endif
