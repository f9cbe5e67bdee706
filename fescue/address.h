/*
 * IPv4 address and port of one endpoint, small enough to copy and compare.
 */
#ifndef FESCUE_ADDRESS_H
#define FESCUE_ADDRESS_H

#include <netinet/in.h>
#include <stdint.h>

struct address {
	uint32_t ip; /* host byte order */
	uint16_t port;
};

#define ADDRESS_TEXT_BYTES 24

/* Parse "1.2.3.4:5678". Returns 0 or FESCUE_EINVAL. */
int address_parse(const char *text, struct address *out);

/* Write "1.2.3.4:5678" into buf of ADDRESS_TEXT_BYTES; returns buf. */
const char *address_format(struct address address, char *buf);

/* Pack into one integer, the key of a host in every table. */
uint64_t address_key(struct address address);

/* Inverse of address_key(). */
struct address address_from_key(uint64_t key);

/* Convert to and from the socket API's form. */
struct sockaddr_in address_to_sockaddr(struct address address);
struct address address_from_sockaddr(const struct sockaddr_in *in);

#endif
