/*
 * Header codec: repeated headers cost two bytes on a link.
 *
 * Each direction of a link has a table that both ends build in step: a name,
 * or a name with its value, that is sent a second time is given a number, and
 * from then on only the number is sent. The tables live and die with the
 * link; they are bounded, what does not fit is sent in full. The module owns
 * no socket.
 */
#ifndef FESCUE_HEADER_CODEC_H
#define FESCUE_HEADER_CODEC_H

#include "proto/fescue.pb-c.h"

#include <stddef.h>

#define HEADER_CODEC_ENTRIES_MAX 512
/* Longer values are unlikely to come again and are not kept. */
#define HEADER_CODEC_VALUE_BYTES_MAX 200

struct header_encoder;
struct header_decoder;

struct header_encoder *header_encoder_create(void);
void header_encoder_destroy(struct header_encoder *encoder);

/* Replace what the other end knows by numbers. */
void header_encode(struct header_encoder *encoder, Fescue__Header **headers,
		   size_t count);

struct header_decoder *header_decoder_create(void);
void header_decoder_destroy(struct header_decoder *decoder);

/*
 * Put names and values back, in the order in which they were encoded. Returns
 * 0, or FESCUE_EINVAL for a number that was never given out; the link cannot
 * be used any more then.
 */
int header_decode(struct header_decoder *decoder, Fescue__Header **headers,
		  size_t count);

#endif
