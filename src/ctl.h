/*
 * Commands of fescuectl. Each prints results to standard output and failures to
 * standard error, and returns an enum exit_code.
 */
#ifndef FESCUE_CTL_H
#define FESCUE_CTL_H

#include "fescue/address.h"
#include "settings.h"

#include <jansson.h>
#include <stdio.h>

#include <uv.h>

struct ctl {
	uv_loop_t *loop;
	struct address store; /* port 0: not given */
	struct address node; /* operator port of a node; port 0: not given */
	/* Options of the commands; NULL: not given. */
	int64_t base; /* apply: version the file is based on; -1: not given */
	char *events_path; /* apply: file for the event record */
	char *method; /* explain */
	char *id; /* explain: request id */
	char *host; /* explain */
	char *account; /* explain: name */
	char *key_file; /* explain: file with the key of an account */
	int json; /* explain: print the node's answer */
	char *add; /* edit: line to append */
	char *with; /* edit: text of the replaced line */
	int remove; /* edit: line number; 0: not given */
	int replace; /* edit: line number; 0: not given */
};

/*
 * Read "store" and "node" from a JSON settings file. On failure returns an
 * error and stores its description in message.
 */
int ctl_read_settings(struct ctl *ctl, const char *path,
		      char message[SETTINGS_ERROR_BYTES]);

/* Commands on a rules file and on the configuration in the store. */
int ctl_check(struct ctl *ctl, const char *path);
int ctl_apply(struct ctl *ctl, const char *path);
int ctl_edit(struct ctl *ctl, const char *path);
int ctl_diff(struct ctl *ctl, const char *path);
int ctl_show(struct ctl *ctl, const char *unused);

/* Queries of nodes over their operator ports. */
int ctl_status(struct ctl *ctl, const char *unused);
int ctl_explain(struct ctl *ctl, const char *path);

/* Print the node's answer to an explain query as text. */
void ctl_print_explanation(FILE *out, const json_t *explanation);

/* Analysis of node logs, read from standard input. */
int ctl_trace(struct ctl *ctl, const char *request_id);
int ctl_versions(struct ctl *ctl, const char *unused);

#endif
