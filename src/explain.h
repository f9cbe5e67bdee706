/*
 * Explains where a request would go now, and why, as JSON. Nothing is sent to
 * other hosts and no state of the node changes.
 */
#ifndef FESCUE_EXPLAIN_H
#define FESCUE_EXPLAIN_H

#include "operator.h"

#include <jansson.h>

/* The request to explain. NULL or size 0: not given. */
struct explain_query {
	const char *method; /* default: GET */
	const char *host;
	const char *path; /* default: "/" */
	const char *id; /* request id, which selects the target of a split */
	const char *account; /* name */
	struct http_text key; /* instead of the name; appears in no output */
};

/*
 * Returns the explanation with status 200, or a JSON object with the member
 * "error" and status 400 (bad query) or 503 (no configuration).
 */
json_t *explain_request(const struct operator_view *view,
			const struct explain_query *query, int *status);

#endif
