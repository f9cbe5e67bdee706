/* What the files of the lab share. */
#ifndef REVIEW_LAB_2_STATE_H
#define REVIEW_LAB_2_STATE_H

#include "lab.h"

#include <netinet/in.h>

/* Of a node's machine, in this order from the first port of the run on. */
enum port { PORT_READY, PORT_CALLERS, PORT_CONTROL, PORT_SERVER, PORT_PEERS };

struct sockaddr_in lab_address(int number, enum port port);

/* Return a socket, or -1. */
int lab_connect(int number, enum port port);
int lab_listen(int number, enum port port);

/* Ends the run, which says nothing of the rule. */
void lab_fail(const char *text) __attribute__((noreturn));

/* Sends a request on a connection of its own; returns the status, or 0. */
int lab_request_once(int number, enum port port, const char *method,
		     const char *path, const char *body);

/* Formats an address, as IP:PORT. */
void lab_format_address(int number, enum port port, char out[48]);

/* Serves an address; each connection has a thread. */
void lab_serve(int number, enum port port, lab_handler handler);

#define LAB_STORE_NUMBER 200 /* last part of the store's address */

void lab_encode_base64(const char *text, char *out);

#endif
