/*
 * IPv4 address and port of an endpoint; passed by value.
 */
#ifndef FESCUE_ADDRESS_H
#define FESCUE_ADDRESS_H

#include <netinet/in.h>
#include <stdint.h>

struct address {
	uint32_t ip; /* host byte order */
	uint16_t port;
};

/* Buffer size for address_format(), including the final NUL. */
#define ADDRESS_TEXT_BYTES 24

/* Parse "1.2.3.4:5678"; port 0 is invalid. Returns 0 or FESCUE_EINVAL. */
int address_parse(const char *text, struct address *out);

/* Write "1.2.3.4:5678" into buf of ADDRESS_TEXT_BYTES; returns buf. */
const char *address_format(struct address address, char *buf);

/* Pack into an integer, which identifies a host in packets and tables. */
uint64_t address_key(struct address address);

/* Inverse of address_key(). */
struct address address_from_key(uint64_t key);

/* Convert to and from the type of the socket API. */
struct sockaddr_in address_to_sockaddr(struct address address);
struct address address_from_sockaddr(const struct sockaddr_in *in);

#endif
