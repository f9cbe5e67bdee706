#include "fescue/address.h"

#include "fescue/error.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ADDRESS_PORT_MAX 65535

int address_parse(const char *text, struct address *out)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon = strrchr(text, ':');
	struct in_addr in;
	char *end;
	unsigned long port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return FESCUE_EINVAL;
	memcpy(ip, text, colon - text);
	ip[colon - text] = '\0';
	if (inet_pton(AF_INET, ip, &in) != 1)
		return FESCUE_EINVAL;
	if (colon[1] < '0' || colon[1] > '9')
		return FESCUE_EINVAL;
	port = strtoul(colon + 1, &end, 10);
	if (*end || !port || port > ADDRESS_PORT_MAX)
		return FESCUE_EINVAL;
	out->ip = ntohl(in.s_addr);
	out->port = (uint16_t)port;
	return FESCUE_OK;
}

const char *address_format(struct address address, char *buf)
{
	snprintf(buf, ADDRESS_TEXT_BYTES, "%u.%u.%u.%u:%u", address.ip >> 24,
		 (address.ip >> 16) & 255, (address.ip >> 8) & 255,
		 address.ip & 255, address.port);
	return buf;
}

uint64_t address_key(struct address address)
{
	return (uint64_t)address.ip << 16 | address.port;
}

struct address address_from_key(uint64_t key)
{
	struct address address = { (uint32_t)(key >> 16), (uint16_t)key };

	return address;
}

struct sockaddr_in address_to_sockaddr(struct address address)
{
	struct sockaddr_in in;

	memset(&in, 0, sizeof(in));
	in.sin_family = AF_INET;
	in.sin_port = htons(address.port);
	in.sin_addr.s_addr = htonl(address.ip);
	return in;
}

struct address address_from_sockaddr(const struct sockaddr_in *in)
{
	struct address address = { ntohl(in->sin_addr.s_addr),
				   ntohs(in->sin_port) };

	return address;
}
