/*
 * The commands of fescuectl. Each prints to standard output, failures to
 * standard error, and returns an exit code.
 */
#ifndef FESCUE_CTL_H
#define FESCUE_CTL_H

#include "fescue/address.h"
#include "settings.h"

#include <uv.h>

struct ctl {
	uv_loop_t *loop;
	struct address store; /* port 0: not given */
	struct address node; /* a node's operator port */
	int64_t base; /* version the file was made from; -1: not given */
	char *events_path;
	char *method;
	char *id; /* of a request, for explain; NULL: none */
	char *host;
	char *add;
	char *with;
	int remove;
	int replace;
};

int ctl_read_settings(struct ctl *ctl, const char *path,
		      char message[SETTINGS_ERROR_BYTES]);

int ctl_check(struct ctl *ctl, const char *path);
int ctl_apply(struct ctl *ctl, const char *path);
int ctl_edit(struct ctl *ctl, const char *path);
int ctl_diff(struct ctl *ctl, const char *path);
int ctl_show(struct ctl *ctl, const char *unused);
int ctl_status(struct ctl *ctl, const char *unused);
/* Read logs of nodes from standard input. */
int ctl_trace(struct ctl *ctl, const char *request_id);
int ctl_versions(struct ctl *ctl, const char *unused);
int ctl_explain(struct ctl *ctl, const char *path);

#endif
