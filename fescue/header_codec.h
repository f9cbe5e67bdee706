/*
 * Header codec: compresses a header that repeats on a link to 2 or 3 bytes.
 *
 * Each direction of a link has a dictionary, of which both ends keep the same
 * copy. A name, or a name with its value, is assigned a number when it is sent
 * for the second time; after that only the number is sent. A dictionary lasts
 * as long as its link and is bounded; headers that do not fit are sent in
 * full. The module does no I/O.
 */
#ifndef FESCUE_HEADER_CODEC_H
#define FESCUE_HEADER_CODEC_H

#include "proto/fescue.pb-c.h"

#include <stddef.h>

#define HEADER_CODEC_ENTRIES_MAX 512
/* Longer values rarely repeat; they are always sent in full. */
#define HEADER_CODEC_VALUE_BYTES_MAX 200

struct header_encoder;
struct header_decoder;

struct header_encoder *header_encoder_create(void);
void header_encoder_destroy(struct header_encoder *encoder);

/* Replace names and values that are in the dictionary by their numbers. */
void header_encode(struct header_encoder *encoder, Fescue__Header **headers,
		   size_t count);

struct header_decoder *header_decoder_create(void);
void header_decoder_destroy(struct header_decoder *decoder);

/*
 * Restore names and values; headers must be decoded in the order in which they
 * were encoded. Returns 0, or FESCUE_EINVAL for a number that is not in the
 * dictionary or out of sequence; the link must then be closed, since the
 * dictionaries differ.
 */
int header_decode(struct header_decoder *decoder, Fescue__Header **headers,
		  size_t count);

#endif
