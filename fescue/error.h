/*
 * Error numbers shared by all modules.
 *
 * Every function that can fail returns 0 or one of these negative numbers.
 */
#ifndef FESCUE_ERROR_H
#define FESCUE_ERROR_H

enum fescue_error {
	FESCUE_OK = 0,
	FESCUE_EINVAL = -1, /* an argument or input is malformed */
	FESCUE_EIO = -2, /* a socket or file operation failed */
	FESCUE_ETIMEOUT = -3, /* no answer before the timeout */
	FESCUE_EUNAVAILABLE = -4, /* the peer or the store refused the call */
	FESCUE_ECONFLICT = -5, /* a compare-and-swap lost */
	FESCUE_ENOTFOUND = -6, /* the key, route or host is unknown */
	FESCUE_ETOOBIG = -7, /* input exceeds a documented size */
	FESCUE_EMISMATCH = -8, /* a checksum or base version differs */
	FESCUE_EPARTIAL = -9, /* the answer ended early */
	FESCUE_ECANCELED = -10, /* the caller or owner gave up */
	FESCUE_EGONE = -11, /* the history asked for was dropped */
};

/*
 * Describe an error number. The text names the remedy and is owned by the
 * library. Unknown numbers yield a generic text; never returns NULL.
 */
const char *fescue_strerror(int error);

#endif
