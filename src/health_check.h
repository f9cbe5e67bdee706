/*
 * Asks a backend server by its health path whether it is in service. Only an
 * answer 200 that names the backend server counts: another one may have its
 * address, or answer in its place.
 */
#ifndef FESCUE_HEALTH_CHECK_H
#define FESCUE_HEALTH_CHECK_H

#include "fescue/announcement.h"
#include "node_context.h"

struct health_check;

/*
 * context must outlive the check. healthy is called from the loop with the
 * announcement_fingerprint() of the backend server that answered so. Never
 * returns NULL.
 */
struct health_check *health_check_create(const struct node_context *context,
					 void (*healthy)(void *data,
							 uint64_t fingerprint),
					 void *data);

/* Cancels the pending call. Does nothing for NULL. */
void health_check_destroy(struct health_check *check);

/*
 * Starts a check, unless one is pending or this incarnation was asked before.
 * path is copied.
 */
void health_check_start(struct health_check *check,
			const struct announcement *announcement,
			const char *path);

#endif
