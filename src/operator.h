/*
 * The operator port: counters, status, explanations, and the announcements
 * of the own backend server.
 */
#ifndef FESCUE_OPERATOR_H
#define FESCUE_OPERATOR_H

#include "node.h"

/* Handler of the operator port; data is the node. */
void operator_request(void *data, struct http_exchange *exchange);

#endif
