/*
 * Faults of a stand-in, switched by a JSON object over HTTP.
 */
#ifndef FESCUE_FAULTS_H
#define FESCUE_FAULTS_H

#include "http_server.h"

#include <jansson.h>

/*
 * Parse the request's body; the caller releases it. When it is no object,
 * answers the request with the usage and returns NULL.
 */
json_t *faults_parse(struct http_exchange *exchange, const char *usage);

/* Set *out when the key holds a number that is not negative. */
void faults_set_number(const json_t *faults, const char *key, uint32_t *out);

/* Release the object and answer the request. */
void faults_finish(struct http_exchange *exchange, json_t *faults);

#endif
