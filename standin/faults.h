/*
 * Fault injection for a stand-in: an HTTP request whose body is a JSON object
 * sets the faults.
 */
#ifndef FESCUE_FAULTS_H
#define FESCUE_FAULTS_H

#include "http_server.h"

#include <jansson.h>

/*
 * Parses the body of the request. The caller releases the result with
 * faults_finish(). If the body is not valid JSON, answers the request with the
 * usage and returns NULL.
 */
json_t *faults_parse(struct http_exchange *exchange, const char *usage);

/* Sets *out if the key holds an integer that is not negative. */
void faults_set_number(const json_t *faults, const char *key, uint32_t *out);

/* Releases the object and answers the request. */
void faults_finish(struct http_exchange *exchange, json_t *faults);

#endif
