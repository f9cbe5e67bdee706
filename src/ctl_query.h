/* Queries of fescuectl to a node's operator port. */
#ifndef FESCUE_CTL_QUERY_H
#define FESCUE_CTL_QUERY_H

#include "http_server.h"

#include <jansson.h>

struct ctl_response {
	uv_loop_t *loop;
	int status; /* 0: no answer */
	json_t *json; /* NULL: no answer, or not JSON */
	char *text; /* NULL: no answer */
};

/* Send a GET request and wait for the answer; clear the result. */
struct ctl_response ctl_get(uv_loop_t *loop, struct address address,
			    const char *path);

/* The same with a header; NULL: none. */
struct ctl_response ctl_get_with(uv_loop_t *loop, struct address address,
				 const char *path,
				 const struct http_header *header);
void ctl_response_clear(struct ctl_response *response);

/* Print that a node did not answer; returns the exit code. */
int ctl_report_no_answer(struct address node);

/* Members of a JSON object, or "" and 0. */
const char *ctl_string(const json_t *object, const char *key);
int64_t ctl_integer(const json_t *object, const char *key);

#endif
