#include "fescue/error.h"

const char *fescue_strerror(int error)
{
	switch (error) {
	case FESCUE_OK:
		return "no error";
	case FESCUE_EINVAL:
		return "malformed input; correct the named field and try again";
	case FESCUE_EIO:
		return "socket or file failure; check the address, the path "
		       "and the permissions";
	case FESCUE_ETIMEOUT:
		return "no answer in time; check that the peer runs, "
		       "then try again";
	case FESCUE_EUNAVAILABLE:
		return "refused by the peer; wait for it to recover, "
		       "then try again";
	case FESCUE_ECONFLICT:
		return "another write came first; read it, merge, try again";
	case FESCUE_ENOTFOUND:
		return "not found; check the name";
	case FESCUE_ETOOBIG:
		return "too large; split or shorten the input";
	case FESCUE_EMISMATCH:
		return "content does not match its checksum; fetch it whole";
	case FESCUE_EPARTIAL:
		return "answer ended early; try again if the call is "
		       "idempotent";
	case FESCUE_ECANCELED:
		return "canceled; nothing to do";
	case FESCUE_EGONE:
		return "the history asked for is gone; read the present "
		       "state, then watch again";
	default:
		return "unknown error; report it with the log";
	}
}
