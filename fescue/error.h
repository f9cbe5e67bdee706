/*
 * Error codes shared by all modules. A function that can fail returns FESCUE_OK
 * or one of the negative codes.
 */
#ifndef FESCUE_ERROR_H
#define FESCUE_ERROR_H

enum fescue_error {
	FESCUE_OK = 0,
	FESCUE_EINVAL = -1, /* an argument or input is malformed */
	FESCUE_EIO = -2, /* a socket or file operation failed */
	FESCUE_ETIMEOUT = -3, /* no answer before the timeout */
	FESCUE_EUNAVAILABLE = -4, /* the peer or the store refused the call */
	FESCUE_ECONFLICT = -5, /* a conditional write found another revision */
	FESCUE_ENOTFOUND = -6, /* the key, route or host is unknown */
	FESCUE_ETOOBIG = -7, /* the input exceeds a documented limit */
	FESCUE_EMISMATCH = -8, /* a checksum or base version differs */
	FESCUE_EPARTIAL = -9, /* the connection closed within the answer */
	FESCUE_ECANCELED = -10, /* the caller or owner canceled the operation */
	FESCUE_EGONE = -11, /* the requested revision was compacted */
};

/*
 * Returns a text that describes the error and its remedy. The text is static
 * and never NULL; unknown codes have a generic text.
 */
const char *fescue_strerror(int error);

#endif
