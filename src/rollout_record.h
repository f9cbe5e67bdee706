/*
 * Text of a roll-out's record, which the leader keeps in the store under a key
 * of the project's own.
 */
#ifndef FESCUE_ROLLOUT_RECORD_H
#define FESCUE_ROLLOUT_RECORD_H

#include "fescue/rollout_leader.h"

#include <stddef.h>

/* Prefix of the keys; the service's name follows. */
#define ROLLOUT_RECORD_PREFIX "fescue/rollout/"

/* Returns a JSON object; release it with g_free(). */
char *rollout_record_format(const struct rollout_record *record);

/* Returns 0, or FESCUE_EINVAL if the bytes, which may be NULL, are no record. */
int rollout_record_parse(const char *bytes, size_t size,
			 struct rollout_record *out);

#endif
